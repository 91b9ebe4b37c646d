package lang

import (
	"slices"

	"crankhold/internal/lang/syntax"
	"crankhold/internal/route"
)

// routeType sends the requests that it matches to a pool, under a policy.
var routeType = &blockType{
	keyword: routeKeyword,
	named:   true,
	settings: map[string]settingType{
		frontSetting:    listOf(readOneOf(route.Thrift.String(), route.Webhook.String())),
		classSetting:    listOf(readText),
		functionSetting: listOf(readFunction),
		tenantSetting:   listOf(readText),
		poolSetting:     single(readText),
		policySetting:   single(readText),
		rejectSetting:   single(readOneOf("yes")),
	},
	build: buildRoute,
	check: checkRoutes,
}

// readFunction reads 16 hex digits, or fewer and a star.
func readFunction(raw syntax.Value) (value, error) {
	v, err := readText(raw)
	if err != nil {
		return v, err
	}
	_, err = route.ParsePattern(v.text)
	return v, err
}

func buildRoute(c *checker, b *block) {
	r := route.RouteSpec{
		Name:    b.name,
		Classes: b.texts(classSetting),
		Tenants: b.texts(tenantSetting),
		Pool:    b.value(poolSetting).text,
		Policy:  b.value(policySetting).text,
		At:      fileLine(b.pos),
	}
	for _, front := range b.texts(frontSetting) {
		r.Fronts = append(r.Fronts, frontNamed(front))
	}
	for _, function := range b.texts(functionSetting) {
		pattern, _ := route.ParsePattern(function) // checked when it was read
		r.Functions = append(r.Functions, pattern)
	}
	switch {
	case b.hasValue(rejectSetting) && (b.hasValue(poolSetting) || b.hasValue(policySetting)):
		c.report.faultAtSetting(b, rejectSetting, "route %q refuses its calls: it takes no pool and no policy", r.Name)
	case !b.isPresent(rejectSetting) && !b.isPresent(poolSetting):
		c.report.fault(b, b.pos, "route %q needs a pool, or refuse = yes", r.Name)
	}
	if len(r.Tenants) > 0 && len(r.Fronts) > 0 && !slices.Contains(r.Fronts, route.Webhook) {
		c.report.faultAtSetting(b, tenantSetting, "route %q can't be reached: only webhooks name a tenant", r.Name)
	}
	c.result.Spec.Routes = append(c.result.Spec.Routes, r)
}

// frontNamed returns the front of a name that readOneOf has checked.
func frontNamed(name string) route.Front {
	if name == route.Webhook.String() {
		return route.Webhook
	}
	return route.Thrift
}

func checkRoutes(c *checker) {
	var classes []string
	if c.platform != nil {
		classes = c.platform.classNames()
	} else {
		classes = c.symbols.names(classKeyword)
	}
	for _, b := range c.symbols.definitions(routeKeyword) {
		c.references.resolve(b, poolSetting, poolKeyword)
		c.references.resolve(b, policySetting, policyKeyword)
		for _, v := range b.values[classSetting] {
			if len(classes) > 0 && c.symbols.complete && !slices.Contains(classes, v.text) {
				c.report.fault(b, v.pos, "no class %q%s", v.text, suggest(v.text, classes))
			}
		}
	}
	if c.symbols.complete && len(c.symbols.names(routeKeyword)) == 0 {
		start := syntax.Pos{File: c.result.Files[0], Line: 1, Col: 1}
		c.report.add(syntax.Fault{Pos: start, Msg: "there are no routes: every call would be refused"})
	}
}
