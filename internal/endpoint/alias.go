package endpoint

import (
	"maps"
	"slices"
	"strings"
)

// Entry is an entry of an endpoint list.
type Entry struct {
	Name   string
	Addrs  []Addr
	SameAs string // the name of an entry that is said to be the same worker; empty: none
}

// GroupAliases sorts entries into workers. Two entries that have an address in common lead to one process, as do those
// that are said to: they are one worker, with the addresses of both. A group lists the indices of its entries in the
// order of their names, and so do the groups.
//
// A group is known by all its names: where one of them leaves the list, the process that it named has ended, and what
// is left is another worker, which inherits nothing.
func GroupAliases(list []Entry) (groups [][]int) {
	sets := newDisjointSets(len(list))
	joinByAddress(sets, list)
	joinByName(sets, list)
	byRoot := map[int][]int{}
	for i := range list {
		root := sets.find(i)
		byRoot[root] = append(byRoot[root], i)
	}
	groups = slices.Collect(maps.Values(byRoot))
	byName := func(a, b int) int { return strings.Compare(list[a].Name, list[b].Name) }
	for _, group := range groups {
		slices.SortFunc(group, byName)
	}
	slices.SortFunc(groups, func(a, b []int) int { return byName(a[0], b[0]) })
	return groups
}

// GroupName is the name by which a group is known. That of a single entry is its own.
func GroupName(list []Entry, group []int) string {
	var names []string
	for _, i := range group {
		names = append(names, list[i].Name)
	}
	return strings.Join(names, "+")
}

// joinByAddress joins the entries that have an address in common.
func joinByAddress(sets disjointSets, list []Entry) {
	owner := map[Addr]int{}
	for i, entry := range list {
		for _, addr := range entry.Addrs {
			first, taken := owner[addr]
			if taken {
				sets.join(i, first)
			} else {
				owner[addr] = i
			}
		}
	}
}

// joinByName joins each entry with the one that it is said to be the same as.
func joinByName(sets disjointSets, list []Entry) {
	byName := map[string]int{}
	for i, entry := range list {
		byName[entry.Name] = i
	}
	for i, entry := range list {
		same, listed := byName[entry.SameAs]
		if listed && entry.SameAs != "" {
			sets.join(i, same)
		}
	}
}

// disjointSets holds for each element the one above it in its set; a root is above itself.
type disjointSets []int

// newDisjointSets returns sets of one element each.
func newDisjointSets(count int) disjointSets {
	sets := make(disjointSets, count)
	for i := range sets {
		sets[i] = i
	}
	return sets
}

// find returns the root of the set that holds an element, and shortens the way there.
func (s disjointSets) find(element int) (root int) {
	for s[element] != element {
		s[element] = s[s[element]]
		element = s[element]
	}
	return element
}

// join makes the sets of two elements one.
func (s disjointSets) join(a, b int) { s[s.find(a)] = s.find(b) }
