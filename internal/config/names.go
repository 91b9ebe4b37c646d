package config

import (
	"slices"

	"crankhold/internal/endpoint"
	"crankhold/policy"
)

// ClassNames returns the names of the classes in the order of the indices by which requests refer to them.
func (c *Config) ClassNames() []string { return namesOf(c.Network.Classes) }

// TenantNames returns the names of the tenants in the order of the indices by which requests refer to them.
func (c *Config) TenantNames() []string { return namesOf(c.Network.Tenants) }

func namesOf(list []NamedEntry) []string {
	var names []string
	for _, entry := range list {
		names = append(names, entry.Name)
	}
	return names
}

// NotIdempotent reports for each class, in the order of ClassNames, whether its requests must never run twice.
func (c *Config) NotIdempotent() []bool {
	var list []bool
	for _, class := range c.Policy.Classes {
		list = append(list, class.Idempotency == policy.NotIdempotent)
	}
	return list
}

// ZoneGroup returns the zone of a name. It isn't known if the name is empty, or if the settings don't list it or list
// it more than once.
func (c *Config) ZoneGroup(name string) policy.Group {
	zone := policy.Group{}
	if name == "" {
		return zone
	}
	for i, listed := range c.Network.Zones {
		if !endpoint.SameName(listed, name) {
			continue
		}
		if zone.IsKnown() {
			return policy.Group{}
		}
		zone = policy.KnownGroup(i)
	}
	return zone
}

// KindMemoryMB returns the memory of workers of a kind in MB, or 0 if the settings don't give it.
func (c *Config) KindMemoryMB(kind string) float64 {
	memory := c.Network.Specifics.MemoryMBByKind
	i := slices.Index(c.Network.Kinds, kind)
	if i < 0 || i >= len(memory) {
		return 0
	}
	return memory[i]
}
