package lang

import "slices"

// classType tells of a class what the platform's settings would, so that a configuration can be checked without
// them; with them it must agree, but may have a class run once that they let run again. Where a configuration
// has class blocks and no platform, they are all the classes there are.
var classType = &blockType{keyword: "class", named: true, settings: map[string]settingType{
	"runs": {readOneOf("once", "repeatable"), false}, "deadline": {readDuration, false}, "aim": {readDuration, false},
}, build: buildClass}

func buildClass(c *checker, b *block) {
	k := Class{Name: b.name, NotIdempotent: b.value("runs").text == "once", Deadline: b.value("deadline").duration, LatencyObjective: b.value("aim").duration}
	if k.Name == neverIdempotentClass {
		if b.value("runs").text == "repeatable" {
			c.fault(b, b.value("runs").pos, "%s must never run twice: it can't be made repeatable", neverIdempotentClass)
		}
		k.NotIdempotent = true
	}
	if k.Deadline > 0 && k.LatencyObjective > k.Deadline {
		c.fault(b, b.value("aim").pos, "the aim %v of class %q is beyond its deadline %v", k.LatencyObjective, k.Name, k.Deadline)
	}
	if p := c.platform; p != nil {
		i := slices.IndexFunc(p.Classes, func(o Class) bool { return o.Name == k.Name })
		if i < 0 {
			var names []string
			for _, o := range p.Classes {
				names = append(names, o.Name)
			}
			c.fault(b, b.pos, "class %q is none of the platform's%s", k.Name, suggest(k.Name, names))
			return
		}
		o := p.Classes[i]
		if o.NotIdempotent && b.value("runs").text == "repeatable" {
			c.fault(b, b.value("runs").pos, "the platform's settings say that class %q must never run twice", k.Name)
		}
		if b.hasValue("deadline") && o.Deadline > 0 && k.Deadline != o.Deadline {
			c.fault(b, b.value("deadline").pos, "the deadline of class %q is %v by the platform's settings", k.Name, o.Deadline)
		}
		if b.hasValue("aim") && o.LatencyObjective > 0 && k.LatencyObjective != o.LatencyObjective {
			c.fault(b, b.value("aim").pos, "the aim of class %q is %v by the platform's settings", k.Name, o.LatencyObjective)
		}
	}
	c.result.classes = append(c.result.classes, k)
	if k.NotIdempotent {
		c.result.Spec.NotIdempotentClasses = append(c.result.Spec.NotIdempotentClasses, k.Name)
	}
}
