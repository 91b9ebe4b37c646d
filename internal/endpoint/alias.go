package endpoint

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Entry is one entry of an endpoint list.
type Entry struct {
	Name    string
	Addrs   []Addr
	AliasOf string // name of an entry that the configuration declares to be the same worker; "": none
}

// GroupAliases groups the entries that are aliases of one worker: those that have an address in common, and those that
// the configuration declares to be the same. Each group has the indexes of its entries in list, sorted by name. The
// groups are sorted by the name of their first entry.
//
// All names of a group together identify the worker. If one of them leaves the list, the process with that name has
// exited. The remaining entries are then a different worker, which inherits no state.
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
	keys := make([]NameKey, len(list))
	for i, entry := range list {
		keys[i] = KeyOf(entry.Name)
	}
	byName := func(a, b int) int { return cmp.Compare(keys[a], keys[b]) }
	for _, group := range groups {
		slices.SortFunc(group, byName)
	}
	slices.SortFunc(groups, func(a, b []int) int { return byName(a[0], b[0]) })
	return groups
}

// GroupName returns the name of a group: the names of its entries, joined with "+".
func GroupName(list []Entry, group []int) string {
	var names []string
	for _, i := range group {
		names = append(names, list[i].Name)
	}
	return strings.Join(names, "+")
}

// joinByAddress merges the sets of entries that have an address in common.
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

// joinByName merges the set of each entry with that of its Entry.AliasOf.
func joinByName(sets disjointSets, list []Entry) {
	byName := map[NameKey]int{}
	for i, entry := range list {
		byName[KeyOf(entry.Name)] = i
	}
	for i, entry := range list {
		same, listed := byName[KeyOf(entry.AliasOf)]
		if listed && entry.AliasOf != "" {
			sets.join(i, same)
		}
	}
}

// disjointSets is a union-find structure: the parent of each element. A root is its own parent.
type disjointSets []int

// newDisjointSets returns count sets of one element each.
func newDisjointSets(count int) disjointSets {
	sets := make(disjointSets, count)
	for i := range sets {
		sets[i] = i
	}
	return sets
}

// find returns the root of an element's set. It shortens the path to the root by path halving.
func (s disjointSets) find(element int) (root int) {
	for s[element] != element {
		s[element] = s[s[element]]
		element = s[element]
	}
	return element
}

// join merges the sets of two elements.
func (s disjointSets) join(a, b int) { s[s.find(a)] = s.find(b) }
