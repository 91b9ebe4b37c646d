package route

import (
	"slices"
	"strings"
)

// TenantSet is the tenants of the requests of a region.
type TenantSet struct {
	Any    bool     // all tenants, and requests without a tenant
	Names  []string // the tenants in the set that routes name
	Others bool     // also all tenants that no route names, and requests without a tenant
	Except []string // the other tenants that routes name; they are not in the set
}

// Contains reports whether the set includes requests of the tenant; "" is a request without a tenant.
func (s TenantSet) Contains(tenant string) bool {
	if s.Any || slices.Contains(s.Names, tenant) {
		return true
	}
	return s.Others && !slices.Contains(s.Except, tenant)
}

// String describes the tenants as a phrase that follows a description of requests. It returns "" for any tenant.
func (s TenantSet) String() string {
	b := &limitedText{}
	s.describe(b)
	return strings.TrimPrefix(b.String(), " ")
}

// describe appends a space and the phrase that String returns, or nothing for any tenant.
func (s TenantSet) describe(b *limitedText) {
	if s.Any {
		return
	}
	if s.Others && len(s.Names) == 0 {
		b.add(" of no tenant that a route names")
		return
	}
	b.add(" of tenant ")
	joinWithOr(b, s.Names, func(name string) { b.add(name) })
	if s.Others {
		b.add(" or of none that a route names")
	}
}
