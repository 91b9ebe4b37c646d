package lang

import (
	"maps"
	"slices"

	"crankhold/internal/route"
)

// The values of the setting runs of a class block.
const (
	runsOnce       = "once"
	runsRepeatable = "repeatable"
)

// classType is the type of class blocks. They describe classes as the platform's settings do, so that a configuration
// can be checked without those settings. A block must agree with the platform's settings, with one exception: it may
// declare that a class must never run twice although those settings allow it.
var classType = &blockType{
	keyword: classKeyword,
	named:   true,
	settings: map[string]settingType{
		runsSetting:             single(readOneOf(runsOnce, runsRepeatable)),
		deadlineSetting:         single(readDuration),
		latencyObjectiveSetting: single(readDuration),
	},
}

// classBuilder builds classes from class blocks.
type classBuilder struct {
	builderContext
	declared classList // declared by class blocks, in the order of the files
}

// build adds a class, unless the platform's settings are known and have no such class.
func (c *classBuilder) build(b *block) {
	class := Class{
		Name:             b.name,
		NotIdempotent:    b.name == neverIdempotentClass || b.value(runsSetting).text == runsOnce,
		Deadline:         b.value(deadlineSetting).duration,
		LatencyObjective: b.value(latencyObjectiveSetting).duration,
	}
	if class.Name == neverIdempotentClass && b.value(runsSetting).text == runsRepeatable {
		c.report.faultAtSetting(b, runsSetting,
			"%s must never run twice: it can't be made repeatable", neverIdempotentClass)
	}
	if class.Deadline > 0 && class.LatencyObjective > class.Deadline {
		c.report.faultAtSetting(b, latencyObjectiveSetting, "the aim %v of class %q is beyond its deadline %v",
			class.LatencyObjective, class.Name, class.Deadline)
	}
	if c.platform != nil && !c.checkAgainstPlatform(b, class) {
		return
	}
	c.declared = append(c.declared, class)
}

// check does nothing: build has already checked each class, and no setting of a class refers to another block.
func (c *classBuilder) check() {}

// checkAgainstPlatform reports settings of a class block that contradict the platform's settings. It returns false if
// the platform has no such class.
func (c *classBuilder) checkAgainstPlatform(b *block, class Class) bool {
	platformClass, ok := c.platform.classes().find(class.Name)
	if !ok {
		suggestion := suggest(class.Name, c.platform.classes().names())
		c.report.fault(b, b.pos, "class %q is none of the platform's%s", class.Name, suggestion)
		return false
	}
	if platformClass.NotIdempotent && b.value(runsSetting).text == runsRepeatable {
		c.report.faultAtSetting(b, runsSetting,
			"the platform's settings say that class %q must never run twice", class.Name)
	}
	if b.hasValue(deadlineSetting) && platformClass.Deadline > 0 && class.Deadline != platformClass.Deadline {
		c.report.faultAtSetting(b, deadlineSetting,
			"the deadline of class %q is %v by the platform's settings", class.Name, platformClass.Deadline)
	}
	objective := platformClass.LatencyObjective
	if b.hasValue(latencyObjectiveSetting) && objective > 0 && class.LatencyObjective != objective {
		c.report.faultAtSetting(b, latencyObjectiveSetting,
			"the aim of class %q is %v by the platform's settings", class.Name, objective)
	}
	return true
}

// notIdempotent returns the names of the declared classes that must never run twice.
func (c *classBuilder) notIdempotent() []string {
	var names []string
	for _, class := range c.declared {
		if class.NotIdempotent {
			names = append(names, class.Name)
		}
	}
	return names
}

// known returns the classes that the configuration can distinguish: the platform's classes; without a platform, the
// declared classes; if none are declared, the classes that routes name.
func (c *classBuilder) known(routes []route.RouteSpec) knownClasses {
	if c.platform != nil {
		return knownClasses{list: c.platformClasses(), complete: true}
	}
	if len(c.declared) > 0 {
		return knownClasses{list: c.declared, complete: true}
	}
	return knownClasses{list: classesNamedByRoutes(routes)}
}

// platformClasses returns the platform's classes. Each is marked as not idempotent if the platform or a class block
// says so.
func (c *classBuilder) platformClasses() classList {
	var classes classList
	for _, class := range c.platform.Classes {
		class.NotIdempotent = class.NotIdempotent || c.declared.isNotIdempotent(class.Name)
		classes = append(classes, class)
	}
	return classes
}

// classesNamedByRoutes returns the classes that routes name, and neverIdempotentClass, sorted by name.
func classesNamedByRoutes(routes []route.RouteSpec) classList {
	names := map[string]bool{neverIdempotentClass: true}
	for _, r := range routes {
		for _, name := range r.Classes {
			names[name] = true
		}
	}
	var classes classList
	for _, name := range slices.Sorted(maps.Keys(names)) {
		classes = append(classes, Class{Name: name, NotIdempotent: name == neverIdempotentClass})
	}
	return classes
}
