package route

import (
	"fmt"
	"slices"
	"strings"
)

// Region is a set of calls: those by one of its fronts, of one of its classes, for one of its functions and
// of one of its tenants.
type Region struct {
	Fronts      []Front
	Classes     []string // names; OtherClass stands for all that neither table lists
	Functions   []Functions
	Tenants     []string
	OtherTenant bool     // also those of any tenant that no route names, or of none
	NotTenants  []string // the others that routes name
	AnyClass    bool     // Classes has all there are
	AnyFunction bool
	AnyTenant   bool
	Example     Example
}

// Functions are those of a pattern without those of others.
type Functions struct {
	Pattern Pattern
	But     []Pattern
}

// OtherClass is the name of the classes that a table does not list.
const OtherClass = "(any other class)"

// Has tells whether a call of a class of this name is in the region.
func (r Region) Has(c Request, class string) bool {
	tenant := r.AnyTenant || slices.Contains(r.Tenants, c.Tenant) || r.OtherTenant && !slices.Contains(r.NotTenants, c.Tenant)
	return tenant && slices.Contains(r.Fronts, c.Front) && slices.Contains(r.Classes, class) &&
		slices.ContainsFunc(r.Functions, func(f Functions) bool {
			return f.Pattern.Matches(c.Function) && !slices.ContainsFunc(f.But, func(p Pattern) bool { return p.Matches(c.Function) })
		})
}

// String words the region.
func (r Region) String() string {
	text := "calls"
	if len(r.Fronts) < int(Fronts) {
		text += " by " + r.Fronts[0].String()
	}
	if !r.AnyClass {
		text += " of class " + strings.Join(r.Classes, " or ")
	}
	if !r.AnyFunction {
		var list []string
		for _, f := range r.Functions {
			s := f.Pattern.String()
			if len(f.But) > 0 {
				s += " (but not"
				for _, p := range f.But {
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
	Call  Request
	Class string
}

// String words the call.
func (e Example) String() string {
	s := fmt.Sprintf("--front=%v --class=%s --function=%016x", e.Call.Front, e.Class, e.Call.Function)
	if e.Class == OtherClass {
		s = fmt.Sprintf("--front=%v --class=other --function=%016x", e.Call.Front, e.Call.Function)
	}
	if e.Call.Tenant != "" {
		s += " --tenant=" + Quoted(e.Call.Tenant)
	}
	return s
}

// Quoted puts a word in quotes where a shell needs them.
func Quoted(s string) string {
	if strings.Trim(s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == "" {
		return s
	}
	return "'" + strings.ReplaceAll(s, "'", `'\''`) + "'"
}

// universe is made of one call for each kind of calls that tables can tell apart.
type universe struct {
	classes []string
	seen    *patterns
	list    []Pattern // those that match something the longer ones don't
	keys    []uint64  // one function of each
	tenants []string
	others  bool // classes beyond the listed ones exist
}

func newUniverse(others bool, tables ...*Table) *universe {
	u := &universe{classes: slices.Clone(tables[0].classes), others: others}
	var all []Pattern
	for _, t := range tables {
		all = append(all, t.seen.order...)
		u.tenants = append(u.tenants, t.tenants...)
	}
	slices.Sort(u.tenants)
	u.tenants = slices.Compact(u.tenants)
	u.seen = newPatterns(all)
	for _, p := range u.seen.order {
		if key, ok := u.seen.rest(p); ok {
			u.list, u.keys = append(u.list, p), append(u.keys, key)
		}
	}
	return u
}

// point is a call of the universe by its coordinates; tenant len(tenants) is any other.
type point struct{ front, class, pattern, tenant int }

func (u *universe) call(p point) Request {
	c := Request{Front: Front(p.front), Class: p.class, Function: u.keys[p.pattern]}
	if p.tenant < len(u.tenants) {
		c.Tenant = u.tenants[p.tenant]
	}
	return c
}

func (u *universe) class(i int) string {
	if i < len(u.classes) {
		return u.classes[i]
	}
	return OtherClass
}

// group sorts the calls of the universe by what key says of them, "" for those that don't matter, and returns
// the groups in the order of their first call, as regions.
func (u *universe) group(key func(Request) string) (keys []string, regions [][]Region) {
	points := map[string][]point{}
	classes := len(u.classes)
	if u.others {
		classes++
	}
	for pattern := range u.list {
		for tenant := len(u.tenants); tenant >= 0; tenant-- {
			for class := range classes {
				for front := range int(Fronts) {
					if Front(front) == Thrift && tenant < len(u.tenants) {
						continue // names none
					}
					p := point{front, class, pattern, tenant}
					if k := key(u.call(p)); k != "" {
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
		regions = append(regions, u.regions(points[k]))
	}
	return keys, regions
}

// box is a product of sets of coordinates.
type box [4][]int // front, class, pattern, tenant

// regions covers points by boxes, no point twice: boxes that differ in one coordinate alone become one.
func (u *universe) regions(points []point) (list []Region) {
	boxes := make([]box, len(points))
	for i, p := range points {
		boxes[i] = box{{p.front}, {p.class}, {p.pattern}, {p.tenant}}
	}
	for _, along := range []int{1, 0, 3, 2} {
		index := map[string]int{}
		var merged []box
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
		first := point{b[0][0], b[1][0], b[2][0], b[3][len(b[3])-1]}
		r := Region{Example: Example{u.call(first), u.class(first.class)}}
		for _, f := range b[0] {
			r.Fronts = append(r.Fronts, Front(f))
		}
		for _, c := range b[1] {
			r.Classes = append(r.Classes, u.class(c))
		}
		in := map[Pattern]bool{}
		for _, p := range b[2] {
			in[u.list[p]] = true
		}
		for _, p := range b[2] {
			but := u.seen.below(u.list[p], func(q Pattern) bool { return !in[q] })
			r.Functions = append(r.Functions, Functions{u.list[p], but})
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
				r.NotTenants = append(r.NotTenants, name)
			}
		}
		onlyThrift := len(r.Fronts) == 1 && r.Fronts[0] == Thrift
		r.AnyClass = len(b[1]) == len(u.classes) && !u.others || len(b[1]) > len(u.classes)
		r.AnyFunction = len(b[2]) == len(u.list)
		r.AnyTenant = len(b[3]) > len(u.tenants) || onlyThrift
		list = append(list, r)
	}
	return list
}

// UnmatchedRegions returns the calls that no route matches, and that are refused; others tells whether calls of classes
// that the table does not list are to be expected.
func (t *Table) UnmatchedRegions(others bool) (holes []Region) {
	u := newUniverse(others, t)
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
