package route

import (
	"fmt"
	"slices"
	"strings"
)

// OtherClass is the name of the classes that a table does not list.
const OtherClass = "(any other class)"

// Region is a set of requests: those by one of its fronts, of one of its classes, for one of its functions and of one
// of its tenants.
type Region struct {
	Fronts        []Front
	Classes       []string // names; OtherClass stands for all that no table lists
	Functions     []FunctionSet
	Tenants       []string
	OtherTenant   bool     // also requests of any tenant that no route names, or of none
	ExceptTenants []string // the other tenants that routes name
	AnyClass      bool     // Classes has all there are
	AnyFunction   bool     // Functions has all there are
	AnyTenant     bool     // whatever the tenant
	Example       Example
}

// FunctionSet is the functions of a pattern without those of some others.
type FunctionSet struct {
	Pattern Pattern
	Except  []Pattern
}

// Contains reports whether the function is in the set.
func (s FunctionSet) Contains(function uint64) bool {
	excepted := slices.ContainsFunc(s.Except, func(p Pattern) bool { return p.Matches(function) })
	return s.Pattern.Matches(function) && !excepted
}

// String returns the pattern and its exceptions.
func (s FunctionSet) String() string {
	text := s.Pattern.String()
	if len(s.Except) == 0 {
		return text
	}
	text += " (but not"
	for _, p := range s.Except {
		text += " " + p.String()
	}
	return text + ")"
}

// Contains reports whether a request of a class of this name is in the region.
func (r Region) Contains(request Request, class string) bool {
	return slices.Contains(r.Fronts, request.Front) &&
		slices.Contains(r.Classes, class) &&
		slices.ContainsFunc(r.Functions, func(s FunctionSet) bool { return s.Contains(request.Function) }) &&
		r.containsTenant(request.Tenant)
}

func (r Region) containsTenant(tenant string) bool {
	if r.AnyTenant || slices.Contains(r.Tenants, tenant) {
		return true
	}
	return r.OtherTenant && !slices.Contains(r.ExceptTenants, tenant)
}

// String describes the region's requests.
func (r Region) String() string {
	text := "calls"
	if len(r.Fronts) < int(frontCount) {
		text += " by " + r.Fronts[0].String()
	}
	if !r.AnyClass {
		text += " of class " + strings.Join(r.Classes, " or ")
	}
	if !r.AnyFunction {
		var functions []string
		for _, s := range r.Functions {
			functions = append(functions, s.String())
		}
		text += " for function " + strings.Join(functions, " or ")
	}
	return text + r.tenantText()
}

// tenantText describes the region's tenants, with a space before them.
func (r Region) tenantText() string {
	tenants := strings.Join(r.Tenants, " or ")
	switch {
	case r.AnyTenant:
		return ""
	case r.OtherTenant && len(r.Tenants) == 0:
		return " of no tenant that a route names"
	case r.OtherTenant:
		return " of tenant " + tenants + " or of none that a route names"
	default:
		return " of tenant " + tenants
	}
}

// Example is a request of a region.
type Example struct {
	Request Request
	Class   string // name of the request's class
}

// String returns the request as arguments of the command explain.
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

// plainShellCharacters need no quotes in a shell.
const plainShellCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."

// ShellQuote quotes a word where a shell needs it.
func ShellQuote(word string) string {
	if strings.Trim(word, plainShellCharacters) == "" {
		return word
	}
	return "'" + strings.ReplaceAll(word, "'", `'\''`) + "'"
}
