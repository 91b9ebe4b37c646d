package route

import (
	"fmt"
	"slices"
)

// OtherClass is the name in place of all classes that a table does not list.
const OtherClass = "(any other class)"

// Region is a set of requests that a short text can describe: all requests by one of its fronts, of one of its classes,
// for one of its functions and of one of its tenants.
type Region struct {
	Fronts      []Front
	Classes     []string // names; OtherClass represents all that no table lists
	AnyClass    bool     // Classes has all classes
	Functions   []FunctionSet
	AnyFunction bool // Functions has all functions
	Tenants     TenantSet
	Example     Example // one of the requests
}

// Contains reports whether the region has a request; class is the name of the request's class, or OtherClass.
func (r Region) Contains(request Request, class string) bool {
	return slices.Contains(r.Fronts, request.Front) &&
		slices.Contains(r.Classes, class) &&
		slices.ContainsFunc(r.Functions, func(s FunctionSet) bool { return s.Contains(request.Function) }) &&
		r.Tenants.Contains(request.Tenant)
}

// String describes the region's requests.
func (r Region) String() string {
	b := &limitedText{}
	r.describe(b)
	return b.String()
}

// describe appends a description of the region's requests.
func (r Region) describe(b *limitedText) {
	b.add("calls")
	if len(r.Fronts) < int(frontCount) {
		b.add(" by ", r.Fronts[0].String())
	}
	if !r.AnyClass {
		b.add(" of class ")
		joinWithOr(b, r.Classes, func(class string) { b.add(class) })
	}
	if !r.AnyFunction {
		b.add(" for function ")
		joinWithOr(b, r.Functions, func(s FunctionSet) { s.describe(b) })
	}
	r.Tenants.describe(b)
}

// Example is one request of a region.
type Example struct {
	Request Request
	Class   string // name of the request's class
}

// String formats the request as arguments of the command explain.
func (e Example) String() string {
	class := e.Class
	if class == OtherClass {
		class = "other"
	}
	text := fmt.Sprintf("--front=%v --class=%s --function=%016x", e.Request.Front, class, e.Request.Function)
	if e.Request.Tenant != "" {
		text += " --tenant=" + ShellQuote(e.Request.Tenant)
	}
	return text
}
