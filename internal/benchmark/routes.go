package benchmark

import (
	"fmt"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"crankhold/internal/lang"
	"crankhold/internal/route"
)

// The two routes files that replace each other every second. Both route dim-level to the large workers, with different
// caps, and repair-order to the large and small ones. They route fault-check to different kinds of workers. The names
// and the order of pools and routes differ too.
const (
	routesA = `pool "fast" {
	workers { kind = "large" }
	cap = 24
	load-orders = 40%
	fallback = "spare"
	spill = 20%
}
pool "checks" { workers { kind = "small" } }
pool "orders" { workers { kind = "large", "small" } }
pool "spare" { workers { kind = "spare" } }
policy "tight" {
	attempts = 2
	again-if-ran = 0
}
route "dim" {
	class = "dim-level"
	pool = "fast"
	policy = "tight"
}
route "check" {
	class = "fault-check"
	pool = "checks"
}
route "order" {
	class = "repair-order"
	pool = "orders"
}
`
	routesB = `route "orders" {
	class = "repair-order"
	pool = "both"
}
route "checks" {
	class = "fault-check"
	pool = "spare"
}
route "dims" {
	class = "dim-level"
	pool = "fast"
	policy = "tight"
}
policy "tight" { attempts = 2 }
pool "both" { workers { kind = "large", "small" } }
pool "fast" {
	workers { kind = "large" }
	cap = 16
	load-orders = 40%
	fallback = "spare"
	spill = 20%
}
pool "spare" { workers { kind = "spare" } }
`
)

// Limits in routesA and routesB.
const (
	routesACap    = 24   // cap of the pool "fast" in routesA, in requests in flight
	routesBCap    = 16   // the same in routesB
	overflowLimit = 0.20 // share of the requests of dim-level that may overflow to the pool "spare"
)

// routesHeader is the start of a file of routesWithLines. It has routesHeaderLines lines.
const routesHeader = `pool "p" {}
policy "k" {
	attempts = 2
}
route "rest" {
	pool = "p"
}
`

const routesHeaderLines = 7

// routeFormat formats one route of routesWithLines. A route has linesPerRoute lines. The arguments are the route's
// number twice, a function key and a tenant's number.
const routeFormat = `route "r%d" {
	function = "%04x*", "%016x"
	tenant = "t%d"
	pool = "p"
	policy = "k"
}
`

const linesPerRoute = 6

// routesWithLines returns a routes file of at most the given number of lines, with as many routes as fit.
func routesWithLines(lines int) string {
	var b strings.Builder
	b.WriteString(routesHeader)
	for i := range (lines - routesHeaderLines) / linesPerRoute {
		fmt.Fprintf(&b, routeFormat, i, i, scatter(uint64(i+1)), i%40)
	}
	return b.String()
}

// scatter spreads small numbers over the range of all function keys.
func scatter(n uint64) uint64 { return n * 0x9e3779b97f4a7c15 }

// checkRoutes checks the text of a routes file. It returns an error if the text has faults.
func checkRoutes(text string) (*lang.Result, error) {
	files := fstest.MapFS{"main.crank": {Data: []byte(text), Mode: 0o644}}
	result, err := lang.Check(files, "main.crank", "", nil)
	if err != nil {
		return nil, err
	}
	return result, result.Err()
}

// matchCost measures the nanoseconds and the allocations that it takes to match a request against the given number of
// routes. Both are -1 if the routes can't be compiled.
func matchCost(routes int) (ns float64, allocs int64) {
	result, err := checkRoutes(routesWithLines(linesPerRoute*routes + 1))
	if err != nil {
		return -1, -1
	}
	table, err := route.Compile(&result.Spec, result.Classes())
	if err != nil {
		return -1, -1
	}
	measured := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for i := range uint64(b.N) {
			table.Match(route.Request{Front: route.Webhook, Function: scatter(i), Tenant: "t7"})
		}
	})
	return float64(measured.T.Nanoseconds()) / float64(measured.N), measured.AllocsPerOp()
}

// checkCost measures the check of a long routes file. It returns the number of lines of the file, and the time of the
// fastest of three checks in milliseconds.
func checkCost(lines int) (n int, ms float64, err error) {
	text := routesWithLines(lines)
	for i := range 3 {
		startedAt := time.Now()
		if _, err := checkRoutes(text); err != nil {
			return 0, 0, err
		}
		elapsedMs := float64(time.Since(startedAt).Microseconds()) / 1000
		if i == 0 || elapsedMs < ms {
			ms = elapsedMs
		}
	}
	return strings.Count(text, "\n"), ms, nil
}
