package config

import "reflect"

// NeedsRestart returns the JSON keys whose values differ in fresh and that a reload does not apply. A change of the
// seed or of the endpoint list is not reported, since both have an effect at the start alone.
func (c *Config) NeedsRestart(reloaded *Config) []string {
	var changed []string
	if c.Name != reloaded.Name {
		changed = append(changed, "name")
	}
	if c.Listen != reloaded.Listen {
		changed = append(changed, "listen")
	}
	if c.Limits != reloaded.Limits {
		changed = append(changed, "limits")
	}
	if !reflect.DeepEqual(c.Policy, reloaded.Policy) || !reflect.DeepEqual(c.Network, reloaded.Network) {
		changed = append(changed, "settings")
	}
	return changed
}
