package lang

import (
	"slices"

	"crankhold/internal/lang/syntax"
	"crankhold/internal/route"
)

// routeType is the type of route blocks. A route sends the requests that it matches to a pool, under a policy, or
// rejects them.
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
}

// readFunction reads a pattern of functions: 16 hex digits, or fewer digits and a star.
func readFunction(raw syntax.Value) (value, error) {
	v, err := readText(raw)
	if err != nil {
		return v, err
	}
	_, err = route.ParsePattern(v.text)
	return v, err
}

// routeBuilder builds routes from route blocks.
type routeBuilder struct {
	builderContext
	firstFile string            // as messages show its name
	specs     []route.RouteSpec // in the order of the files
}

// build adds a route.
func (r *routeBuilder) build(b *block) {
	spec := route.RouteSpec{
		Name:    b.name,
		Classes: b.texts(classSetting),
		Tenants: b.texts(tenantSetting),
		Pool:    b.value(poolSetting).text,
		Policy:  b.value(policySetting).text,
		At:      fileLine(b.pos),
	}
	for _, front := range b.texts(frontSetting) {
		spec.Fronts = append(spec.Fronts, frontByName(front))
	}
	for _, function := range b.texts(functionSetting) {
		pattern, _ := route.ParsePattern(function) // validated by readFunction
		spec.Functions = append(spec.Functions, pattern)
	}
	r.checkDestination(b)
	if len(spec.Tenants) > 0 && len(spec.Fronts) > 0 && !slices.Contains(spec.Fronts, route.Webhook) {
		r.report.faultAtSetting(b, tenantSetting, "route %q can't be reached: only webhooks name a tenant", spec.Name)
	}
	r.specs = append(r.specs, spec)
}

// frontByName returns the front with a name that readOneOf has validated.
func frontByName(name string) route.Front {
	if name == route.Webhook.String() {
		return route.Webhook
	}
	return route.Thrift
}

// checkDestination reports a route that has no pool and does not reject its requests, and a route that rejects its
// requests but has a pool or a policy.
func (r *routeBuilder) checkDestination(b *block) {
	switch {
	case b.hasValue(rejectSetting) && (b.hasValue(poolSetting) || b.hasValue(policySetting)):
		r.report.faultAtSetting(b, rejectSetting, "route %q refuses its calls: it takes no pool and no policy", b.name)
	case !b.isPresent(rejectSetting) && !b.isPresent(poolSetting):
		r.report.fault(b, b.pos, "route %q needs a pool, or refuse = yes", b.name)
	}
}

// check resolves the pools, policies and classes that routes name, and reports a configuration without routes.
func (r *routeBuilder) check() {
	classes := r.classNames()
	definitions := r.symbols.definitions(routeKeyword)
	for _, b := range definitions {
		r.references.resolve(b, poolSetting, poolKeyword)
		r.references.resolve(b, policySetting, policyKeyword)
		r.checkClasses(b, classes)
	}
	if r.symbols.complete && len(definitions) == 0 {
		start := syntax.Pos{File: r.firstFile, Line: 1, Col: 1}
		r.report.add(syntax.Fault{Pos: start, Msg: "there are no routes: every call would be refused"})
	}
}

// classNames returns the classes that a route may name: the platform's classes or, without a platform, those that class
// blocks declare. If there are none, a route may name any class.
func (r *routeBuilder) classNames() []string {
	if r.platform != nil {
		return r.platform.classes().names()
	}
	return r.symbols.names(classKeyword)
}

// checkClasses reports classes that a route names but that do not exist.
func (r *routeBuilder) checkClasses(b *block, classes []string) {
	if len(classes) == 0 || !r.symbols.complete {
		return
	}
	for _, v := range b.values(classSetting) {
		if !slices.Contains(classes, v.text) {
			r.report.fault(b, v.pos, "no class %q%s", v.text, suggest(v.text, classes))
		}
	}
}
