package route

import "testing"

func TestTenantSet(t *testing.T) {
	for _, c := range []struct {
		set  TenantSet
		text string
		has  map[string]bool
	}{
		{TenantSet{Any: true}, "", map[string]bool{"": true, "east": true, "nobody": true}},
		{TenantSet{Names: []string{"east", "west"}}, "of tenant east or west", map[string]bool{"": false, "east": true, "nobody": false}},
		{TenantSet{Others: true, Except: []string{"east"}}, "of no tenant that a route names",
			map[string]bool{"": true, "east": false, "nobody": true}},
		{TenantSet{Names: []string{"west"}, Others: true, Except: []string{"east"}}, "of tenant west or of none that a route names",
			map[string]bool{"": true, "east": false, "west": true, "nobody": true}},
	} {
		if got := c.set.String(); got != c.text {
			t.Errorf("%+v has the text %q, want %q", c.set, got, c.text)
		}
		for tenant, want := range c.has {
			if got := c.set.Contains(tenant); got != want {
				t.Errorf("%+v contains %q: %v, want %v", c.set, tenant, got, want)
			}
		}
	}
}
