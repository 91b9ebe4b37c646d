package config

import "reflect"

// NeedsRestart returns the JSON keys whose values differ in fresh and that a reload does not apply. A change of the
// seed or of the endpoint list is not reported, since both have an effect at the start alone.
func (c *Config) NeedsRestart(fresh *Config) []string {
	var changed []string
	if c.Name != fresh.Name {
		changed = append(changed, "name")
	}
	if c.Listen != fresh.Listen {
		changed = append(changed, "listen")
	}
	if c.Limits != fresh.Limits {
		changed = append(changed, "limits")
	}
	if !reflect.DeepEqual(c.Policy, fresh.Policy) || !reflect.DeepEqual(c.Network, fresh.Network) {
		changed = append(changed, "settings")
	}
	return changed
}
