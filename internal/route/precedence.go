package route

// patternRoutes holds the routes of one pattern by tenant, class and front.
type patternRoutes struct {
	classCount int
	byTenant   map[string]*classFrontRoutes // routes that name a tenant; nil if there are none
	anyTenant  *classFrontRoutes            // routes that name no tenant
}

func newPatternRoutes(classCount int) *patternRoutes {
	return &patternRoutes{classCount: classCount, anyTenant: newClassFrontRoutes(classCount)}
}

// forTenant returns the routes that name the tenant, or no tenant for "". It creates the entry if it is missing.
func (p *patternRoutes) forTenant(tenant string) *classFrontRoutes {
	if tenant == "" {
		return p.anyTenant
	}
	routes := p.byTenant[tenant]
	if routes == nil {
		routes = newClassFrontRoutes(p.classCount)
		if p.byTenant == nil {
			p.byTenant = map[string]*classFrontRoutes{}
		}
		p.byTenant[tenant] = routes
	}
	return routes
}

// match returns the route of a tenant's requests whose class and front have this resolvedIndex, or noRoute.
func (p *patternRoutes) match(tenant string, resolvedIndex int) routeIndex {
	if tenant != "" {
		if routes := p.byTenant[tenant]; routes != nil && routes.resolved[resolvedIndex] != noRoute {
			return routes.resolved[resolvedIndex]
		}
	}
	return p.anyTenant.resolved[resolvedIndex]
}

// resolve applies the precedence of classes and fronts to the routes of all tenants.
func (p *patternRoutes) resolve() {
	p.anyTenant.resolve()
	for _, routes := range p.byTenant {
		routes.resolve()
	}
}

// classFrontRoutes holds the routes of one pattern and tenant by class and front. declared has the route of each rule.
// resolved, which resolve fills in in place of declared, has the closest route for each class and front.
type classFrontRoutes struct {
	classCount int
	declared   []routeIndex // by declaredIndex
	resolved   []routeIndex // by resolvedIndex
}

func newClassFrontRoutes(classCount int) *classFrontRoutes {
	declared := make([]routeIndex, (classCount+1)*(int(frontCount)+1))
	for i := range declared {
		declared[i] = noRoute
	}
	return &classFrontRoutes{classCount: classCount, declared: declared}
}

// declaredIndex returns the index of a class and a front in classFrontRoutes.declared. That slice is a matrix with a
// row for each class and a column for each front; row 0 is for anyClass and column 0 for anyFront.
func declaredIndex(class int, front Front) int {
	row := class + 1 // anyClass is row 0
	column := int(front) + 1
	if front == anyFront {
		column = 0
	}
	return row*(int(frontCount)+1) + column
}

// resolvedIndex returns the index of a class and a front in classFrontRoutes.resolved. The class after the listed ones
// represents all others.
func resolvedIndex(class int, front Front) int { return class*int(frontCount) + int(front) }

// declare sets the route of a rule's class and front. It returns the route that was set before, or noRoute.
func (c *classFrontRoutes) declare(rule matchRule) routeIndex {
	index := declaredIndex(rule.class, rule.front)
	previous := c.declared[index]
	c.declared[index] = rule.route
	return previous
}

// resolve computes the closest route for each front and each class. The classes that the table does not list share one
// entry per front.
func (c *classFrontRoutes) resolve() {
	c.resolved = make([]routeIndex, (c.classCount+1)*int(frontCount))
	for class := range c.classCount + 1 {
		declaredClass := class
		if class == c.classCount {
			declaredClass = anyClass // only rules without a class match a class that is not listed
		}
		for front := range frontCount {
			c.resolved[resolvedIndex(class, front)] = c.closest(declaredClass, front)
		}
	}
	c.declared = nil
}

// closest returns the route of the closest rule for a class and a front, or noRoute. A rule that names the class is
// closer than one that names only the front.
func (c *classFrontRoutes) closest(class int, front Front) routeIndex {
	candidates := [...]int{
		declaredIndex(class, front),
		declaredIndex(class, anyFront),
		declaredIndex(anyClass, front),
		declaredIndex(anyClass, anyFront),
	}
	for _, index := range candidates {
		if route := c.declared[index]; route != noRoute {
			return route
		}
	}
	return noRoute
}
