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
	SameAs string // the name of an entry that is configured as the same worker; empty: none
}

// GroupAliases groups the entries that lead to one worker: those that have an address in common, and those that are
// configured as the same. Each group holds the indices of its entries in list, in the order of their names. The groups
// are in the order of the names of their first entries.
//
// A group is known by all its names. Where one of them leaves the list, the process that it named has ended: what is
// left is another worker, which inherits nothing.
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

// GroupName returns the name of a group, which joins those of its entries. That of a single entry is its own.
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

// joinByName joins each entry with the one that it is configured to be the same as.
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

// disjointSets is a union-find structure. It holds the parent of each element; a root is its own parent.
type disjointSets []int

// newDisjointSets returns sets of one element each.
func newDisjointSets(count int) disjointSets {
	sets := make(disjointSets, count)
	for i := range sets {
		sets[i] = i
	}
	return sets
}

// find returns the root of the set that holds an element, and halves the path to it.
func (s disjointSets) find(element int) (root int) {
	for s[element] != element {
		s[element] = s[s[element]]
		element = s[element]
	}
	return element
}

// join merges the sets of two elements.
func (s disjointSets) join(a, b int) { s[s.find(a)] = s.find(b) }
