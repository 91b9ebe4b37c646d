package lang

import "slices"

// classKind tells of a class what the platform's settings would, so that a configuration can be checked without
// them; with them it must agree, but may have a class run once that they let run again. Where a configuration
// has class blocks and no platform, they are all the classes there are.
var classKind = &kind{word: "class", label: true, settings: map[string]setting{
	"runs": {oneOf("once", "repeatable"), false}, "deadline": {duration, false}, "aim": {duration, false},
}, build: buildClass}

func buildClass(c *checker, b *block) {
	k := Class{Name: b.label, NotIdempotent: b.one("runs").text == "once", Deadline: b.one("deadline").time, LatencyObjective: b.one("aim").time}
	if k.Name == alwaysOnce {
		if b.one("runs").text == "repeatable" {
			c.fault(b, b.one("runs").at, "%s must never run twice: it can't be made repeatable", alwaysOnce)
		}
		k.NotIdempotent = true
	}
	if k.Deadline > 0 && k.LatencyObjective > k.Deadline {
		c.fault(b, b.one("aim").at, "the aim %v of class %q is beyond its deadline %v", k.LatencyObjective, k.Name, k.Deadline)
	}
	if p := c.platform; p != nil {
		i := slices.IndexFunc(p.Classes, func(o Class) bool { return o.Name == k.Name })
		if i < 0 {
			var names []string
			for _, o := range p.Classes {
				names = append(names, o.Name)
			}
			c.fault(b, b.at, "class %q is none of the platform's%s", k.Name, suggest(k.Name, names))
			return
		}
		o := p.Classes[i]
		if o.NotIdempotent && b.one("runs").text == "repeatable" {
			c.fault(b, b.one("runs").at, "the platform's settings say that class %q must never run twice", k.Name)
		}
		if b.has("deadline") && o.Deadline > 0 && k.Deadline != o.Deadline {
			c.fault(b, b.one("deadline").at, "the deadline of class %q is %v by the platform's settings", k.Name, o.Deadline)
		}
		if b.has("aim") && o.LatencyObjective > 0 && k.LatencyObjective != o.LatencyObjective {
			c.fault(b, b.one("aim").at, "the aim of class %q is %v by the platform's settings", k.Name, o.LatencyObjective)
		}
	}
	c.res.known = append(c.res.known, k)
	if k.NotIdempotent {
		c.res.Spec.NotIdempotentClasses = append(c.res.Spec.NotIdempotentClasses, k.Name)
	}
}
