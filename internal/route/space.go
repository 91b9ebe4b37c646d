package route

import "slices"

// requestSpace divides all requests into sets that its tables can't tell apart. It tells requests apart by their front,
// class, tenant and longest matching pattern, and represents each of these by an index: a Front, or an index into
// classes, patterns or tenants. All requests with the same four indexes take the same route in each of the tables.
type requestSpace struct {
	classes       []string
	otherClasses  bool // there are classes that are not listed; they share the index after the listed ones
	patternSet    *patternSet
	patterns      []Pattern        // those that are the longest matching pattern of some function
	functions     []uint64         // one such function for each of patterns
	tenants       []string         // those that routes name; the index after them is for all others, and for no tenant
	tenantIndexes map[string]int32 // by name
	work          *workLimit
}

// newRequestSpace returns the space of these tables, which must list the same classes. otherClasses says whether there
// are further classes.
func newRequestSpace(otherClasses bool, work *workLimit, tables ...*Table) *requestSpace {
	s := &requestSpace{
		classes:       slices.Clone(tables[0].classes),
		otherClasses:  otherClasses,
		tenantIndexes: map[string]int32{},
		work:          work,
	}
	var patterns []Pattern
	for _, t := range tables {
		patterns = append(patterns, t.patterns.sorted...)
		s.tenants = append(s.tenants, t.tenants...)
	}
	s.tenants = sortedUnique(s.tenants)
	for index, name := range s.tenants {
		s.tenantIndexes[name] = int32(index)
	}
	s.patternSet = newPatternSet(patterns)
	for _, p := range s.patternSet.sorted {
		function, ok := s.patternSet.uncoveredFunction(p)
		if !ok {
			continue
		}
		s.patterns = append(s.patterns, p)
		s.functions = append(s.functions, function)
	}
	return s
}

// classCount returns the number of indexes of classes. All classes that are not listed share one.
func (s *requestSpace) classCount() int {
	if s.otherClasses {
		return len(s.classes) + 1
	}
	return len(s.classes)
}

// className returns the name of the class at an index, or OtherClass.
func (s *requestSpace) className(class int) string {
	if class < len(s.classes) {
		return s.classes[class]
	}
	return OtherClass
}

// otherTenantIndex returns the index of all tenants that no route names, and of requests without a tenant.
func (s *requestSpace) otherTenantIndex() int { return len(s.tenants) }

// effectID identifies what the tables of a requestSpace do with a request. Requests with noEffect are not reported.
type effectID int32

// noEffect is the effect of requests that a report leaves out.
const noEffect effectID = 0

// classEffects holds the effects of the requests of one pattern and class. Requests by Thrift name no tenant.
type classEffects struct {
	thrift  effectID
	webhook columnID // of effects by tenant
}

// requestGroup is the set of requests with one effect.
type requestGroup struct {
	effect  effectID
	regions []Region
}

// groupingStages is the number of stages of groupRequests: it collects the effects of patterns in rows, covers the rows
// with boxes, and describes the boxes.
const groupingStages = 3

// groupRequests groups the requests of a space by their effects. It leaves out those with noEffect. The regions of a
// group, and the groups by their first regions, are in the order of their examples. If the space's workLimit is
// reached, the groups lack some requests.
func (s *requestSpace) groupRequests(effects *effectColumns) []requestGroup {
	rows := newRowTable(s, effects)
	next := int32(0) // index of the next pattern to add
	for _, p := range s.patternSet.sorted {
		if s.work.exceeded() {
			break
		}
		classes := effects.of(p)
		if int(next) < len(s.patterns) && s.patterns[next] == p {
			rows.add(next, classes)
			next++
		}
	}
	s.work.beginStage()
	boxes := rows.cover()
	s.work.beginStage()
	return s.describe(boxes)
}
