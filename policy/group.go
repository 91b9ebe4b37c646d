package policy

// Group is a zone or a cell, as the group of workers that drop the retries of a request. The zero value is a
// group that isn't known, which is the same as no group, itself included.
type Group struct{ number int } // its index and 1; 0 if it isn't known

// KnownGroup returns the zone or the cell of an index, which must not be negative.
func KnownGroup(index int) Group { return Group{number: index + 1} }

// Index returns the index of the group, and whether it is known.
func (g Group) Index() (index int, known bool) { return g.number - 1, g.IsKnown() }

// IsKnown reports whether the group is known.
func (g Group) IsKnown() bool { return g.number > 0 }

// Same reports whether the two are known to be one group.
func (g Group) Same(other Group) bool { return g.IsKnown() && g == other }
