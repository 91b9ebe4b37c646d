package endpoint

import (
	"strings"
	"testing"
)

func TestEntriesOfOneWorkerAreGrouped(t *testing.T) {
	names := func(list []Entry) string {
		var out []string
		for _, g := range GroupAliases(list) {
			out = append(out, GroupName(list, g))
		}
		return strings.Join(out, " ")
	}
	for _, c := range []struct {
		name, want string
		list       []Entry
	}{
		{"apart", "a b", []Entry{{"b", []Addr{ipv4}, ""}, {"a", []Addr{ipv6}, ""}}},
		{"one common address of two", "a+b c", []Entry{{"b", []Addr{ipv4, ipv6}, ""}, {"a", []Addr{unixSocket, ipv4}, ""}, {"c", []Addr{otherIPv4}, ""}}},
		{"common addresses form a chain", "a+b+c", []Entry{{"a", []Addr{ipv4}, ""}, {"c", []Addr{ipv6}, ""}, {"b", []Addr{ipv6, ipv4}, ""}}},
		{"declared the same by name", "a+b", []Entry{{"a", []Addr{ipv4}, ""}, {"b", []Addr{ipv6}, "a"}}},
		{"declared the same as a name that is not listed", "b", []Entry{{"b", []Addr{ipv6}, "a"}}},
		{"addresses swapped between the names", "a b", []Entry{{"a", []Addr{ipv6}, ""}, {"b", []Addr{ipv4}, ""}}},
	} {
		if got := names(c.list); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}
