package lang

import (
	"maps"
	"slices"

	"crankhold/internal/lang/syntax"
	"crankhold/internal/route"
)

// routeType sends the calls that it matches to a pool, under a policy.
var routeType = &blockType{keyword: "route", named: true, settings: map[string]settingType{
	"front": {readOneOf("thrift", "webhook"), true}, "class": {readText, true}, "function": {readFunction, true}, "tenant": {readText, true},
	"pool": {readText, false}, "policy": {readText, false}, "refuse": {readOneOf("yes"), false},
}, build: buildRoute, check: checkRoutes}

// readFunction takes 16 hex digits, or fewer and a star.
func readFunction(v syntax.Value) (value, string) {
	s, wrong := readText(v)
	if wrong == "" {
		if _, err := route.ParsePattern(s.text); err != nil {
			wrong = err.Error()
		}
	}
	return s, wrong
}

func buildRoute(c *checker, b *block) {
	r := route.RouteSpec{Name: b.name, Classes: b.texts("class"), Tenants: b.texts("tenant"), Pool: b.value("pool").text,
		Policy: b.value("policy").text, At: fileLine(b.pos)}
	for _, f := range b.texts("front") {
		r.Fronts = append(r.Fronts, map[string]route.Front{"thrift": route.Thrift, "webhook": route.Webhook}[f])
	}
	for _, f := range b.texts("function") {
		p, _ := route.ParsePattern(f) // checked when it was read
		r.Functions = append(r.Functions, p)
	}
	switch {
	case b.hasValue("refuse") && (b.hasValue("pool") || b.hasValue("policy")):
		c.fault(b, b.value("refuse").pos, "route %q refuses its calls: it takes no pool and no policy", r.Name)
	case !b.isPresent("refuse") && !b.isPresent("pool"):
		c.fault(b, b.pos, "route %q needs a pool, or refuse = yes", r.Name)
	}
	if len(r.Tenants) > 0 && len(r.Fronts) > 0 && !slices.Contains(r.Fronts, route.Webhook) {
		c.fault(b, b.value("tenant").pos, "route %q can't be reached: only webhooks name a tenant", r.Name)
	}
	c.result.Spec.Routes = append(c.result.Spec.Routes, r)
}

func checkRoutes(c *checker) {
	var known []string
	if c.platform != nil {
		for _, k := range c.platform.Classes {
			known = append(known, k.Name)
		}
	} else {
		known = slices.Sorted(maps.Keys(c.blocks["class"]))
	}
	for _, b := range c.blocks["route"] {
		c.resolveReference(b, "pool", "pool")
		c.resolveReference(b, "policy", "policy")
		for _, v := range b.values["class"] {
			if len(known) > 0 && c.complete && !slices.Contains(known, v.text) {
				c.fault(b, v.pos, "no class %q%s", v.text, suggest(v.text, known))
			}
		}
	}
	if c.complete && len(c.blocks["route"]) == 0 {
		c.result.Faults = append(c.result.Faults, syntax.Fault{Pos: syntax.Pos{File: c.result.Files[0], Line: 1, Col: 1}, Msg: "there are no routes: every call would be refused"})
	}
}
