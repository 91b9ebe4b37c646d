package config

import "crankhold/internal/lang"

// Limits on the routes at a memory limit of referenceMemoryMB. While they are replaced, two tables and what a
// file is parsed into are in memory at once.
const (
	maxRoutesFileBytes  = 2 << 20
	maxRoutesTableBytes = 16 << 20
	maxRoutesBlocks     = 32 << 10 // which take some 2 KiB each while they are checked
)

// RoutingPlatform returns the platform's settings that routes may not contradict.
func (c *Config) RoutingPlatform() *lang.Platform {
	platform := &lang.Platform{
		MaxAttempts:    c.Policy.MaxAttempts,
		HedgingAllowed: c.Policy.HedgingAllowed,
		Kinds:          c.Network.Kinds,
		KindMemoryMB:   map[string]float64{},
		Zones:          c.Network.Zones,
		LoadWindow:     c.Policy.LoadBudgetWindow,
		MaxFileBytes:   c.shareOfMemory(maxRoutesFileBytes),
		MaxBlocks:      c.shareOfMemory(maxRoutesBlocks),
		MaxTableBytes:  c.shareOfMemory(maxRoutesTableBytes),
	}
	notIdempotent := c.NotIdempotent()
	for i, name := range c.ClassNames() {
		class := c.Policy.Classes[i]
		platform.Classes = append(platform.Classes, lang.Class{
			Name:             name,
			NotIdempotent:    notIdempotent[i],
			Deadline:         class.Deadline,
			LatencyObjective: class.LatencyObjective,
		})
	}
	for _, kind := range c.Network.Kinds {
		if memory := c.KindMemoryMB(kind); memory > 0 {
			platform.KindMemoryMB[kind] = memory
		}
	}
	return platform
}
