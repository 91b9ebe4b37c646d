package server

import (
	"context"
	"fmt"
	"log/slog"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"crankhold/internal/fake"
)

// eventCounts is a log handler that notes how many requests had been answered at the first line of each event.
type eventCounts struct {
	answered *atomic.Int64
	mu       sync.Mutex
	counts   map[string]int64
	reloaded chan struct{} // closed at the first routes_reloaded
}

func (c *eventCounts) Enabled(context.Context, slog.Level) bool { return true }

func (c *eventCounts) Handle(_ context.Context, record slog.Record) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.counts[record.Message]; ok {
		return nil
	}
	c.counts[record.Message] = c.answered.Load()
	if record.Message == "routes_reloaded" {
		close(c.reloaded)
	}
	return nil
}

func (c *eventCounts) WithAttrs([]slog.Attr) slog.Handler { return c }
func (c *eventCounts) WithGroup(string) slog.Handler      { return c }

// largeRoutes returns a routes file with a route for each of many functions and tenants.
func largeRoutes(functions, tenants, attempts int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "pool \"all\" {}\npolicy \"quick\" { attempts = %d }\n", attempts)
	route := func(name, condition string) {
		fmt.Fprintf(&b, "route %q {\n\t%s\n\tpool = \"all\"\n\tpolicy = \"quick\"\n}\n", name, condition)
	}
	for i := range functions {
		route(fmt.Sprint("f", i), fmt.Sprintf("function = \"%016x\"", 0x1000000000000000+i*7919))
	}
	for i := range tenants {
		route(fmt.Sprint("t", i), fmt.Sprintf("tenant = \"council-%d\"", i))
	}
	b.WriteString("route \"rest\" {\n\tpool = \"all\"\n\tpolicy = \"quick\"\n}\n")
	return b.String()
}

// While a large routes file is reloaded, requests are answered. Guards against work on the event loop that grows with
// the file: none was answered between the two lines of the log, for seconds.
func TestRequestsAreAnsweredDuringALargeReload(t *testing.T) {
	_, _, document := newSite(t, 1, nil)
	dir := t.TempDir()
	configPath, routes := filepath.Join(dir, "config.json"), filepath.Join(dir, "routes.crank")
	writeConfig(t, configPath, document)
	writeText(t, routes, largeRoutes(2500, 260, 2))
	var answered atomic.Int64
	counts := &eventCounts{answered: &answered, counts: map[string]int64{}, reloaded: make(chan struct{})}
	server := startServerWithFile(t, configPath, Options{RoutesFile: routes, Logger: slog.New(counts)})
	client := server.dial()
	writeText(t, routes, largeRoutes(2500, 260, 3))
	for n := 0; ; n++ {
		if n == 10 {
			if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
		}
		response, err := client.Do(newRequest(n))
		if err != nil || response.Status != fake.Served {
			t.Fatalf("request %d: %v, %v", n, response.Status, err)
		}
		answered.Add(1)
		select {
		case <-counts.reloaded:
		default:
			continue
		}
		break
	}
	counts.mu.Lock()
	during := counts.counts["routes_reloaded"] - counts.counts["config_reloaded"]
	counts.mu.Unlock()
	const want = 5
	if during < want {
		t.Errorf("%d requests were answered while the routes were reloaded, want at least %d", during, want)
	}
	client.Close()
	server.drain()
}
