package route

import "slices"

// routeIndex is the index of a route in Table.routes.
type routeIndex int32

// noRoute is the routeIndex that means no route.
const noRoute routeIndex = -1

// anyClass is the class of a rule that matches all classes.
const anyClass = -1

// matchRule is one combination of a pattern, tenant, class and front that a route matches. A route that names several
// values of a property has a rule for each combination.
type matchRule struct {
	pattern Pattern
	tenant  string // "": any
	class   int    // index into the table's classes, or anyClass
	front   Front  // or anyFront
	route   routeIndex
}

// matchRules returns a rule for each combination of the values that the route names. Classes that the table does not
// list are left out.
func (s RouteSpec) matchRules(classes []string, route routeIndex) []matchRule {
	var rules []matchRule
	for _, pattern := range orWildcard(s.Functions, Pattern{}) {
		for _, tenant := range orWildcard(s.Tenants, "") {
			for _, class := range s.classIndexes(classes) {
				for _, front := range orWildcard(s.Fronts, anyFront) {
					rules = append(rules, matchRule{pattern, tenant, class, front, route})
				}
			}
		}
	}
	return rules
}

// classIndexes returns the indexes of the route's classes in the list, or only anyClass if the route names none.
func (s RouteSpec) classIndexes(classes []string) []int {
	if len(s.Classes) == 0 {
		return []int{anyClass}
	}
	var indexes []int
	for _, name := range s.Classes {
		if index := slices.Index(classes, name); index >= 0 {
			indexes = append(indexes, index)
		}
	}
	return indexes
}

// orWildcard returns the list, or a list of only the wildcard if the list is empty.
func orWildcard[T any](list []T, wildcard T) []T {
	if len(list) == 0 {
		return []T{wildcard}
	}
	return list
}

// acceptsFront reports whether the rule can match a request by this front. Only webhooks name a tenant.
func (r matchRule) acceptsFront(front Front) bool {
	if front == Thrift && r.tenant != "" {
		return false
	}
	return r.front == anyFront || r.front == front
}

// acceptsClass reports whether the rule can match a request of this class.
func (r matchRule) acceptsClass(class int) bool { return r.class == anyClass || r.class == class }
