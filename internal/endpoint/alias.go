package endpoint

import (
	"slices"
	"strings"
)

// Entry is an entry of a list of workers.
type Entry struct {
	Name  string
	Addrs []Addr
	Same  string // the name of an entry that is said to be the same worker; "" for none
}

// GroupAliases sorts the entries into workers. Two entries that have an address in common lead to one process, as do
// those that are said to: they are one worker, with the addresses of both. Each group lists its entries in the
// order of their names, and so do the groups.
//
// A group's key is made of all its names: where one of them leaves the list, the process that it named has ended,
// and what is left is another worker, which inherits nothing.
func GroupAliases(list []Entry) (groups [][]int) {
	parent := make([]int, len(list))
	for i := range parent {
		parent[i] = i
	}
	root := func(i int) int {
		for parent[i] != i {
			parent[i] = parent[parent[i]]
			i = parent[i]
		}
		return i
	}
	byAddr, byName := map[Addr]int{}, map[string]int{}
	for i, m := range list {
		byName[m.Name] = i
		for _, a := range m.Addrs {
			if j, ok := byAddr[a]; ok {
				parent[root(i)] = root(j)
			} else {
				byAddr[a] = i
			}
		}
	}
	for i, m := range list {
		if j, ok := byName[m.Same]; ok && m.Same != "" {
			parent[root(i)] = root(j)
		}
	}
	by := map[int][]int{}
	for i := range list {
		by[root(i)] = append(by[root(i)], i)
	}
	for _, g := range by {
		slices.SortFunc(g, func(a, b int) int { return strings.Compare(list[a].Name, list[b].Name) })
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b []int) int { return strings.Compare(list[a[0]].Name, list[b[0]].Name) })
	return groups
}

// GroupName is the name under which a group is known. That of a single entry is its own.
func GroupName(list []Entry, group []int) string {
	var names []string
	for _, i := range group {
		names = append(names, list[i].Name)
	}
	return strings.Join(names, "+")
}
