package config

import (
	"slices"

	"crankhold/policy"
)

// ClassNames returns the names of the classes, in the order in which requests refer to them by index.
func (c *Config) ClassNames() []string { return namesOf(c.Network.Classes) }

// TenantNames returns the names of the tenants, in the order in which requests refer to them by index.
func (c *Config) TenantNames() []string { return namesOf(c.Network.Tenants) }

func namesOf(list []NamedEntry) []string {
	var names []string
	for _, entry := range list {
		names = append(names, entry.Name)
	}
	return names
}

// NotIdempotent returns for each class whether its requests must never run twice.
func (c *Config) NotIdempotent() []bool {
	var list []bool
	for _, class := range c.Policy.Classes {
		list = append(list, class.Idempotency == policy.NotIdempotent)
	}
	return list
}

// KindMemoryMB returns the memory of a kind of workers in MB, or 0 where the settings have none for it.
func (c *Config) KindMemoryMB(kind string) float64 {
	memory := c.Network.Specifics.MemoryMBByKind
	i := slices.Index(c.Network.Kinds, kind)
	if i < 0 || i >= len(memory) {
		return 0
	}
	return memory[i]
}
