package server

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"crankhold/internal/fake"
)

// An end-to-end test over sockets: requests go to the pools that the routes file names, also after a reload with a
// changed file. A file with faults leaves the current routes in force, and a request that no route matches is rejected
// at once.
func TestServesByRoutesAndReloadsThem(t *testing.T) {
	var mu sync.Mutex
	ran := map[string]string{}
	site, err := fake.NewSite("127.0.0.1:0", []fake.WorkerConfig{{Name: "s-1", Addr: "127.0.0.1:0", Kind: "large", Zone: "here", Warm: true},
		{Name: "s-2", Addr: "127.0.0.1:0", Kind: "small", Zone: "here", Warm: true}}, func(e fake.Event) {
		if e.Kind == "run" {
			mu.Lock()
			ran[e.ID] = e.Worker.Name
			mu.Unlock()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	listen, err := fake.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	configPath, routes := filepath.Join(dir, "config.json"), filepath.Join(dir, "routes.crank")
	if err := site.WriteConfig(configPath, listen); err != nil {
		t.Fatal(err)
	}
	text := func(dimPool, checkPool string) string {
		return fmt.Sprintf("pool \"large\" { workers { kind = \"large\" } }\npool \"small\" { workers { kind = \"small\" } }\n"+
			"route \"dims\" {\n\tclass = \"dim-level\"\n\tpool = %q\n}\nroute \"checks\" {\n\tclass = \"fault-check\"\n\tpool = %q\n}\n", dimPool, checkPool)
	}
	writeText(t, routes, text("large", "small"))
	server := startServerWithFile(t, configPath, Options{RoutesFile: routes})
	client := server.dial()
	n := 0
	send := func(class string) (status, worker string) {
		n++
		id := fmt.Sprintf("%016x", n)
		a, err := client.Do(fake.Request{Class: class, ID: id, FunctionKey: "7f3a9c21e0b4d655", Timeout: 2 * time.Second, Properties: "lanes:4"})
		if err != nil {
			t.Fatal(err)
		}
		mu.Lock()
		defer mu.Unlock()
		return string(a.Status), ran[id]
	}
	// reload returns once requests are sent to the worker dimPool: the server replaces the routes one turn after it has
	// read them.
	reload := func(s, dimPool string) {
		writeText(t, routes, s)
		if err := server.reload(); err != nil {
			t.Fatal(err)
		}
		for range 1000 {
			if _, w := send("dim-level"); w == dimPool {
				return
			}
		}
		t.Fatalf("requests don't go to %s after a reload", dimPool)
	}
	expect := func(class, status, worker string) {
		t.Helper()
		if v, w := send(class); v != status || w != worker {
			t.Errorf("%s: %s by %q, want %s by %q", class, v, w, status, worker)
		}
	}
	expect("dim-level", "served", "s-1")
	expect("fault-check", "served", "s-2")
	expect("repair-order", "refused", "")
	reload(text("small", "large"), "s-2")
	expect("fault-check", "served", "s-1")
	reload(strings.Replace(text("large", "small"), "kind", "kinds", 1), "s-2") // a fault, so the routes stay as they are
	expect("fault-check", "served", "s-1")
	server.drain()
}
