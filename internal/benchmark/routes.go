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

// The two files that take each other's place every second. Both send dim-level to the large workers, with
// different caps, and repair-order to the large and small ones; fault-check changes sides. Names and order differ.
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

// Figures of routesA and routesB.
const (
	routesACap    = 24 // requests in flight of the pool "fast"
	routesBCap    = 16
	overflowLimit = 0.20 // of the class's requests, that may overflow to the pool "spare"
)

// routesHeader begins a file of routesWithLines, with routesHeaderLines lines.
const routesHeader = `pool "p" {}
policy "k" {
	attempts = 2
}
route "rest" {
	pool = "p"
}
`

const routesHeaderLines = 7

// routeFormat formats a route of routesWithLines, which has linesPerRoute lines. Its arguments are the route's number
// twice, a function's key and a tenant's number.
const routeFormat = `route "r%d" {
	function = "%04x*", "%016x"
	tenant = "t%d"
	pool = "p"
	policy = "k"
}
`

const linesPerRoute = 6

// routesWithLines returns a file of about so many lines, and as many routes as fit.
func routesWithLines(lines int) string {
	var b strings.Builder
	b.WriteString(routesHeader)
	for i := range (lines - routesHeaderLines) / linesPerRoute {
		fmt.Fprintf(&b, routeFormat, i, i, scatter(uint64(i+1)), i%40)
	}
	return b.String()
}

// scatter spreads small numbers over all function keys.
func scatter(n uint64) uint64 { return n * 0x9e3779b97f4a7c15 }

// checkRoutes checks a routes file's text.
func checkRoutes(text string) (*lang.Result, error) {
	files := fstest.MapFS{"main.crank": {Data: []byte(text), Mode: 0o644}}
	result, err := lang.Check(files, "main.crank", "", nil)
	if err != nil {
		return nil, err
	}
	return result, result.Err()
}

// matchCost measures a look-up among routes: nanoseconds and allocations, or -1 if the routes can't be used.
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

// checkCost measures the check of a long file: its lines, and milliseconds, the best of three.
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
