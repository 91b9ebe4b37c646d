package server

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"crankhold/internal/config"
	"crankhold/internal/fake"
)

// From socket to socket: calls go to the pools that a routes file names, also after a SIGHUP with another one;
// one with faults leaves the old one in force; what no route takes is refused at once.
func TestServesByRoutesAndReloadsThem(t *testing.T) {
	var mu sync.Mutex
	ran := map[string]string{}
	site, err := fake.NewSite("127.0.0.1:0", []fake.WorkerConfig{{Name: "s-1", Addr: "127.0.0.1:0", Kind: "large", Zone: "here", Warm: true},
		{Name: "s-2", Addr: "127.0.0.1:0", Kind: "small", Zone: "here", Warm: true}}, func(e fake.Event) {
		if e.What == "run" {
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
	text := func(dims, rest string) string {
		return fmt.Sprintf("pool \"large\" { workers { kind = \"large\" } }\npool \"small\" { workers { kind = \"small\" } }\n"+
			"route \"dims\" {\n\tclass = \"dim-level\"\n\tpool = %q\n}\nroute \"checks\" {\n\tclass = \"fault-check\"\n\tpool = %q\n}\n", dims, rest)
	}
	write := func(s string) {
		if err := os.WriteFile(routes, []byte(s), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write(text("large", "small"))
	reread := make(chan bool, 1)
	read := func() (*config.Config, error) {
		return config.Read(func(name string) string { return map[string]string{"EDGE_CONFIG": configPath}[name] })
	}
	c, err := read()
	if err != nil {
		t.Fatal(err)
	}
	stop, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		ended <- Serve(c, Options{Routes: routes, Stop: stop}, func() (*config.Config, error) {
			defer func() { reread <- true }()
			return read()
		})
	}()
	var client *fake.Client
	for client == nil {
		select {
		case err := <-ended:
			t.Fatal(err)
		default:
			client, _ = fake.Dial(listen)
		}
	}
	defer client.Close()
	n := 0
	call := func(class string) (verdict, worker string) {
		n++
		id := fmt.Sprintf("%016x", n)
		a, err := client.Do(fake.Call{Class: class, ID: id, Key: "7f3a9c21e0b4d655", Wait: 2 * time.Second, Props: "lanes:4"})
		if err != nil {
			t.Fatal(err)
		}
		mu.Lock()
		defer mu.Unlock()
		return a.Verdict, ran[id]
	}
	// reload returns once calls go where they should: the swap follows the reading by a turn.
	reload := func(s, dims string) {
		write(s)
		syscall.Kill(syscall.Getpid(), syscall.SIGHUP)
		<-reread
		for range 1000 {
			if _, w := call("dim-level"); w == dims {
				return
			}
		}
		t.Fatalf("calls don't go to %s after a reload", dims)
	}
	expect := func(class, verdict, worker string) {
		t.Helper()
		if v, w := call(class); v != verdict || w != worker {
			t.Errorf("%s: %s by %q, want %s by %q", class, v, w, verdict, worker)
		}
	}
	expect("dim-level", "served", "s-1")
	expect("fault-check", "served", "s-2")
	expect("repair-order", "refused", "")
	reload(text("small", "large"), "s-2")
	expect("fault-check", "served", "s-1")
	reload(strings.Replace(text("large", "small"), "kind", "kinds", 1), "s-2") // a fault: nothing changes
	expect("fault-check", "served", "s-1")
	close(stop)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
