package config

import "reflect"

// KeysNeedingRestart returns the JSON keys whose values differ in the reloaded configuration and that a reload does not
// apply. It does not report a change of the seed or of the endpoint list, because both are used only at the start.
func (c *Config) KeysNeedingRestart(reloaded *Config) []string {
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
