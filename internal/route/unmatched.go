package route

// UnmatchedRegions describes the requests that no route matches; they are rejected. otherClasses says whether there are
// classes that the table does not list.
func (t *Table) UnmatchedRegions(otherClasses bool) []Region {
	isUnmatched := func(r Request) (unmatched, ok bool) { return true, t.Match(r) == nil }
	var regions []Region
	for _, group := range groupRequests(newRequestSpace(otherClasses, t), isUnmatched) {
		regions = append(regions, group.regions...)
	}
	return regions
}
