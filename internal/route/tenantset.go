package route

import (
	"slices"
	"strings"
)

// TenantSet is the tenants of the requests of a region.
type TenantSet struct {
	Any    bool     // whatever the tenant, also none
	Names  []string // tenants that routes name
	Others bool     // also any tenant that no route names, and no tenant
	Except []string // the tenants that routes name beside Names; they are not in the set
}

// Contains reports whether requests of the tenant, or of none for "", are in the set.
func (s TenantSet) Contains(tenant string) bool {
	if s.Any || slices.Contains(s.Names, tenant) {
		return true
	}
	return s.Others && !slices.Contains(s.Except, tenant)
}

// String describes the tenants, as the end of a sentence on requests, or returns "" for any.
func (s TenantSet) String() string {
	names := strings.Join(s.Names, " or ")
	switch {
	case s.Any:
		return ""
	case s.Others && len(s.Names) == 0:
		return "of no tenant that a route names"
	case s.Others:
		return "of tenant " + names + " or of none that a route names"
	default:
		return "of tenant " + names
	}
}
