package fake

import (
	"runtime"
	"testing"
	"time"
)

const functionKey = "7f3a9c21e0b4d655"

// newSite starts a site with one worker.
func newSite(t *testing.T, cfg WorkerConfig, record func(Event)) *Site {
	t.Helper()
	cfg.Name = "s-1"
	cfg.Addr = "127.0.0.1:0"
	site, err := NewSite("127.0.0.1:0", []WorkerConfig{cfg}, record)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	return site
}

// Close stops the goroutines of a worker that has requests, loads and connections in progress.
func TestGoroutinesEndWithClose(t *testing.T) {
	before := runtime.NumGoroutine()
	started := make(chan Event, 16)
	cfg := WorkerConfig{ServiceTime: time.Hour, LoadTime: time.Hour, Warm: true, Lanes: 1, Queue: 4}
	site := newSite(t, cfg, func(e Event) { started <- e })
	router := newRouterConn(t, site.Workers[0].Addr)
	router.send("RUN", "1", "queue=dim-level,path="+functionKey, "")
	if e := <-started; e.Kind != EventStarted || e.ID != "1" || e.Class != "dim-level" || e.FunctionKey != functionKey {
		t.Errorf("%+v", e)
	}
	site.Close()
	if e := <-started; e.Kind != EventConnectionLost {
		t.Errorf("after the worker was closed: %s", e.Kind)
	}
	for limit := time.Now().Add(5 * time.Second); runtime.NumGoroutine() > before; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%d goroutines, %d before", runtime.NumGoroutine(), before)
		}
	}
}
