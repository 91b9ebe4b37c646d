package lang

import (
	"maps"
	"slices"

	"crankhold/internal/lang/syntax"
	"crankhold/internal/route"
)

// routeKind sends the calls that it matches to a pool, under a policy.
var routeKind = &kind{word: "route", label: true, settings: map[string]setting{
	"front": {oneOf("thrift", "webhook"), true}, "class": {text, true}, "function": {function, true}, "tenant": {text, true},
	"pool": {text, false}, "policy": {text, false}, "refuse": {oneOf("yes"), false},
}, build: buildRoute, check: checkRoutes}

// function takes 16 hex digits, or fewer and a star.
func function(v syntax.Value) (value, string) {
	s, wrong := text(v)
	if wrong == "" {
		if _, err := route.ParsePattern(s.text); err != nil {
			wrong = err.Error()
		}
	}
	return s, wrong
}

func buildRoute(c *checker, b *block) {
	r := route.RouteSpec{Name: b.label, Classes: b.texts("class"), Tenants: b.texts("tenant"), Pool: b.one("pool").text,
		Policy: b.one("policy").text, At: place(b.at)}
	for _, f := range b.texts("front") {
		r.Fronts = append(r.Fronts, map[string]route.Front{"thrift": route.Thrift, "webhook": route.Webhook}[f])
	}
	for _, f := range b.texts("function") {
		p, _ := route.ParsePattern(f) // checked when it was read
		r.Functions = append(r.Functions, p)
	}
	switch {
	case b.has("refuse") && (b.has("pool") || b.has("policy")):
		c.fault(b, b.one("refuse").at, "route %q refuses its calls: it takes no pool and no policy", r.Name)
	case !b.given("refuse") && !b.given("pool"):
		c.fault(b, b.at, "route %q needs a pool, or refuse = yes", r.Name)
	}
	if len(r.Tenants) > 0 && len(r.Fronts) > 0 && !slices.Contains(r.Fronts, route.Webhook) {
		c.fault(b, b.one("tenant").at, "route %q can't be reached: only webhooks name a tenant", r.Name)
	}
	c.res.Spec.Routes = append(c.res.Spec.Routes, r)
}

func checkRoutes(c *checker) {
	var known []string
	if c.platform != nil {
		for _, k := range c.platform.Classes {
			known = append(known, k.Name)
		}
	} else {
		known = slices.Sorted(maps.Keys(c.names["class"]))
	}
	for _, b := range c.names["route"] {
		c.refer(b, "pool", "pool")
		c.refer(b, "policy", "policy")
		for _, v := range b.set["class"] {
			if len(known) > 0 && c.whole && !slices.Contains(known, v.text) {
				c.fault(b, v.at, "no class %q%s", v.text, suggest(v.text, known))
			}
		}
	}
	if c.whole && len(c.names["route"]) == 0 {
		c.res.Faults = append(c.res.Faults, syntax.Fault{Pos: syntax.Pos{File: c.res.Files[0], Line: 1, Col: 1}, Msg: "there are no routes: every call would be refused"})
	}
}
