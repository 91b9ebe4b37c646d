package lang

// The words that the setting runs of a class block takes.
const (
	runsOnce       = "once"
	runsRepeatable = "repeatable"
)

// classType says of a class what the platform's settings would, so that a configuration can be checked without them.
// With them it must agree, but may have a class never run twice that they let run again. Where a configuration has
// class blocks and no platform, they are all the classes there are.
var classType = &blockType{
	keyword: classKeyword,
	named:   true,
	settings: map[string]settingType{
		runsSetting:             single(readOneOf(runsOnce, runsRepeatable)),
		deadlineSetting:         single(readDuration),
		latencyObjectiveSetting: single(readDuration),
	},
	build: buildClass,
}

func buildClass(c *checker, b *block) {
	class := Class{
		Name:             b.name,
		NotIdempotent:    b.value(runsSetting).text == runsOnce,
		Deadline:         b.value(deadlineSetting).duration,
		LatencyObjective: b.value(latencyObjectiveSetting).duration,
	}
	if class.Name == neverIdempotentClass {
		if b.value(runsSetting).text == runsRepeatable {
			c.report.faultAtSetting(b, runsSetting, "%s must never run twice: it can't be made repeatable", neverIdempotentClass)
		}
		class.NotIdempotent = true
	}
	if class.Deadline > 0 && class.LatencyObjective > class.Deadline {
		c.report.faultAtSetting(b, latencyObjectiveSetting, "the aim %v of class %q is beyond its deadline %v", class.LatencyObjective, class.Name, class.Deadline)
	}
	if c.platform != nil && !c.checkAgainstPlatform(b, class) {
		return
	}
	c.result.classes = append(c.result.classes, class)
	if class.NotIdempotent {
		c.result.Spec.NotIdempotentClasses = append(c.result.Spec.NotIdempotentClasses, class.Name)
	}
}

// checkAgainstPlatform reports where a class block contradicts the platform's settings. It returns false where the
// platform has no such class.
func (c *checker) checkAgainstPlatform(b *block, class Class) bool {
	platformClass, ok := c.platform.class(class.Name)
	if !ok {
		c.report.fault(b, b.pos, "class %q is none of the platform's%s", class.Name, suggest(class.Name, c.platform.classNames()))
		return false
	}
	if platformClass.NotIdempotent && b.value(runsSetting).text == runsRepeatable {
		c.report.faultAtSetting(b, runsSetting, "the platform's settings say that class %q must never run twice", class.Name)
	}
	if b.hasValue(deadlineSetting) && platformClass.Deadline > 0 && class.Deadline != platformClass.Deadline {
		c.report.faultAtSetting(b, deadlineSetting, "the deadline of class %q is %v by the platform's settings", class.Name, platformClass.Deadline)
	}
	if b.hasValue(latencyObjectiveSetting) && platformClass.LatencyObjective > 0 && class.LatencyObjective != platformClass.LatencyObjective {
		c.report.faultAtSetting(b, latencyObjectiveSetting, "the aim of class %q is %v by the platform's settings", class.Name, platformClass.LatencyObjective)
	}
	return true
}
