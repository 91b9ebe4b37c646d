package route

// UnmatchedRegions describes the requests that no route matches; they are rejected. otherClasses says whether there are
// classes that the table does not list. complete is false if the table is so large that some regions are left out.
func (t *Table) UnmatchedRegions(otherClasses bool) (regions []Region, complete bool) {
	const unmatched effectID = 1
	work := newWorkLimit(t.checkSteps(), groupingStages)
	s := newRequestSpace(otherClasses, work, t)
	matched := make([]routeIndex, len(t.routes)) // how a request is matched makes no difference
	effects := newEffectColumns(s, nil, newTableColumns(s, t, matched))
	effects.effect = func(routes [2]routeIndex, _ bool) effectID {
		if routes[0] == noRoute {
			return unmatched
		}
		return noEffect
	}
	for _, group := range s.groupRequests(effects) {
		regions = append(regions, group.regions...)
	}
	return regions, !work.incomplete()
}
