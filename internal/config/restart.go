package config

import "reflect"

// NeedsRestart returns the JSON keys of what fresh changes and a reload does not apply. The seed and the endpoint list
// of the start have an effect at a start alone, so a change of them is not reported.
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
