package policy

import "fmt"

// NoClass is the Class of a ConfigError that concerns no single class.
const NoClass = -1

// ConfigError is returned by New for invalid settings: there are no classes, a class is invalid, or a numeric
// setting is negative, too large, infinite or NaN.
type ConfigError struct {
	Class   int    // index of the invalid class, or NoClass
	Setting string // name of the invalid field of Config if Class is NoClass
	Config  Config // the settings as they were passed to New
}

// Error implements error.
func (e *ConfigError) Error() string {
	switch {
	case e.Class != NoClass:
		return fmt.Sprintf("policy: class %d is impossible: %+v", e.Class, e.Config.Classes[e.Class])
	case len(e.Config.Classes) == 0:
		return "policy: no request classes"
	default:
		return fmt.Sprintf("policy: setting out of range: %+v", e.Config)
	}
}
