package policy

import "fmt"

// NoClass is the Class of a ConfigError that is about the settings as a whole.
const NoClass = -1

// ConfigError is returned by New for settings that no platform can mean: they have no classes, or an amount
// in them is negative, infinite or no number.
type ConfigError struct {
	Class   int    // index of the impossible class, or NoClass
	Setting string // field of Config that is impossible, where it is no class of its own
	Config  Config // as it was given
}

// Error implements error.
func (e *ConfigError) Error() string {
	switch {
	case e.Class != NoClass:
		return fmt.Sprintf("policy: class %d is impossible: %+v", e.Class, e.Config.Classes[e.Class])
	case len(e.Config.Classes) == 0:
		return "policy: no request classes"
	default:
		return fmt.Sprintf("policy: settings hold an impossible amount: %+v", e.Config)
	}
}
