package route

import (
	"fmt"
	"slices"
	"strings"
)

// Region is a set of calls: those by one of its fronts, of one of its classes, for one of its functions and
// of one of its tenants.
type Region struct {
	Fronts        []Front
	Classes       []string // names; OtherClass stands for all that neither table lists
	Functions     []FunctionSet
	Tenants       []string
	OtherTenant   bool     // also those of any tenant that no route names, or of none
	ExceptTenants []string // the others that routes name
	AnyClass      bool     // Classes has all there are
	AnyFunction   bool
	AnyTenant     bool
	Example       Example
}

// FunctionSet are those of a pattern without those of others.
type FunctionSet struct {
	Pattern Pattern
	Except  []Pattern
}

// OtherClass is the name of the classes that a table does not list.
const OtherClass = "(any other class)"

// Contains tells whether a call of a class of this name is in the region.
func (r Region) Contains(c Request, class string) bool {
	tenant := r.AnyTenant || slices.Contains(r.Tenants, c.Tenant) || r.OtherTenant && !slices.Contains(r.ExceptTenants, c.Tenant)
	return tenant && slices.Contains(r.Fronts, c.Front) && slices.Contains(r.Classes, class) &&
		slices.ContainsFunc(r.Functions, func(f FunctionSet) bool {
			return f.Pattern.Matches(c.Function) && !slices.ContainsFunc(f.Except, func(p Pattern) bool { return p.Matches(c.Function) })
		})
}

// String words the region.
func (r Region) String() string {
	text := "calls"
	if len(r.Fronts) < int(frontCount) {
		text += " by " + r.Fronts[0].String()
	}
	if !r.AnyClass {
		text += " of class " + strings.Join(r.Classes, " or ")
	}
	if !r.AnyFunction {
		var list []string
		for _, f := range r.Functions {
			s := f.Pattern.String()
			if len(f.Except) > 0 {
				s += " (but not"
				for _, p := range f.Except {
					s += " " + p.String()
				}
				s += ")"
			}
			list = append(list, s)
		}
		text += " for function " + strings.Join(list, " or ")
	}
	switch {
	case r.AnyTenant:
	case r.OtherTenant && len(r.Tenants) == 0:
		text += " of no tenant that a route names"
	case r.OtherTenant:
		text += " of tenant " + strings.Join(r.Tenants, " or ") + " or of none that a route names"
	default:
		text += " of tenant " + strings.Join(r.Tenants, " or ")
	}
	return text
}

// Example is a call of a region, worded as the arguments of explain.
type Example struct {
	Request Request
	Class   string
}

// String words the call.
func (e Example) String() string {
	s := fmt.Sprintf("--front=%v --class=%s --function=%016x", e.Request.Front, e.Class, e.Request.Function)
	if e.Class == OtherClass {
		s = fmt.Sprintf("--front=%v --class=other --function=%016x", e.Request.Front, e.Request.Function)
	}
	if e.Request.Tenant != "" {
		s += " --tenant=" + ShellQuote(e.Request.Tenant)
	}
	return s
}

// ShellQuote puts a word in quotes where a shell needs them.
func ShellQuote(s string) string {
	if strings.Trim(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == "" {
		return s
	}
	return "'" + strings.ReplaceAll(s, "'", `'\''`) + "'"
}

// requestSpace is made of one call for each kind of calls that tables can tell apart.
type requestSpace struct {
	classes      []string
	patternSet   *patternSet
	patterns     []Pattern // those that match something the longer ones don't
	functions    []uint64  // one function of each
	tenants      []string
	otherClasses bool // classes beyond the listed ones exist
}

func newRequestSpace(others bool, tables ...*Table) *requestSpace {
	u := &requestSpace{classes: slices.Clone(tables[0].classes), otherClasses: others}
	var all []Pattern
	for _, t := range tables {
		all = append(all, t.patterns.sorted...)
		u.tenants = append(u.tenants, t.tenants...)
	}
	slices.Sort(u.tenants)
	u.tenants = slices.Compact(u.tenants)
	u.patternSet = newPatternSet(all)
	for _, p := range u.patternSet.sorted {
		if key, ok := u.patternSet.functionOf(p); ok {
			u.patterns, u.functions = append(u.patterns, p), append(u.functions, key)
		}
	}
	return u
}

// requestPoint is a call of the universe by its coordinates; tenant len(tenants) is any other.
type requestPoint struct{ front, class, pattern, tenant int }

func (u *requestSpace) request(p requestPoint) Request {
	c := Request{Front: Front(p.front), Class: p.class, Function: u.functions[p.pattern]}
	if p.tenant < len(u.tenants) {
		c.Tenant = u.tenants[p.tenant]
	}
	return c
}

func (u *requestSpace) className(i int) string {
	if i < len(u.classes) {
		return u.classes[i]
	}
	return OtherClass
}

// group sorts the calls of the universe by what key says of them, "" for those that don't matter, and returns
// the groups in the order of their first call, as regions.
func (u *requestSpace) group(key func(Request) string) (keys []string, regions [][]Region) {
	points := map[string][]requestPoint{}
	classes := len(u.classes)
	if u.otherClasses {
		classes++
	}
	for pattern := range u.patterns {
		for tenant := len(u.tenants); tenant >= 0; tenant-- {
			for class := range classes {
				for front := range int(frontCount) {
					if Front(front) == Thrift && tenant < len(u.tenants) {
						continue // names none
					}
					p := requestPoint{front, class, pattern, tenant}
					if k := key(u.request(p)); k != "" {
						if points[k] == nil {
							keys = append(keys, k)
						}
						points[k] = append(points[k], p)
					}
				}
			}
		}
	}
	for _, k := range keys {
		regions = append(regions, u.mergeRegions(points[k]))
	}
	return keys, regions
}

// requestBox is a product of sets of coordinates.
type requestBox [4][]int // front, class, pattern, tenant

// mergeRegions covers points by boxes, no point twice: boxes that differ in one coordinate alone become one.
func (u *requestSpace) mergeRegions(points []requestPoint) (list []Region) {
	boxes := make([]requestBox, len(points))
	for i, p := range points {
		boxes[i] = requestBox{{p.front}, {p.class}, {p.pattern}, {p.tenant}}
	}
	for _, along := range []int{1, 0, 3, 2} {
		index := map[string]int{}
		var merged []requestBox
		for _, b := range boxes {
			rest := b
			rest[along] = nil
			k := fmt.Sprint(rest)
			i, ok := index[k]
			if !ok {
				index[k] = len(merged)
				merged = append(merged, b)
				continue
			}
			merged[i][along] = append(merged[i][along], b[along]...)
		}
		for i := range merged {
			slices.Sort(merged[i][along])
		}
		boxes = merged
	}
	for _, b := range boxes {
		first := requestPoint{b[0][0], b[1][0], b[2][0], b[3][len(b[3])-1]}
		r := Region{Example: Example{u.request(first), u.className(first.class)}}
		for _, f := range b[0] {
			r.Fronts = append(r.Fronts, Front(f))
		}
		for _, c := range b[1] {
			r.Classes = append(r.Classes, u.className(c))
		}
		in := map[Pattern]bool{}
		for _, p := range b[2] {
			in[u.patterns[p]] = true
		}
		for _, p := range b[2] {
			but := u.patternSet.outermostWithin(u.patterns[p], func(q Pattern) bool { return !in[q] })
			r.Functions = append(r.Functions, FunctionSet{u.patterns[p], but})
		}
		for _, t := range b[3] {
			if t == len(u.tenants) {
				r.OtherTenant = true
			} else {
				r.Tenants = append(r.Tenants, u.tenants[t])
			}
		}
		for _, name := range u.tenants {
			if !slices.Contains(r.Tenants, name) {
				r.ExceptTenants = append(r.ExceptTenants, name)
			}
		}
		onlyThrift := len(r.Fronts) == 1 && r.Fronts[0] == Thrift
		r.AnyClass = len(b[1]) == len(u.classes) && !u.otherClasses || len(b[1]) > len(u.classes)
		r.AnyFunction = len(b[2]) == len(u.patterns)
		r.AnyTenant = len(b[3]) > len(u.tenants) || onlyThrift
		list = append(list, r)
	}
	return list
}

// UnmatchedRegions returns the calls that no route matches, and that are refused; others tells whether calls of classes
// that the table does not list are to be expected.
func (t *Table) UnmatchedRegions(others bool) (holes []Region) {
	u := newRequestSpace(others, t)
	_, regions := u.group(func(c Request) string {
		if t.Match(c) == nil {
			return "hole"
		}
		return ""
	})
	for _, list := range regions {
		holes = append(holes, list...)
	}
	return holes
}
