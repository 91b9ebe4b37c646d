package server

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"crankhold/internal/config"
	"crankhold/internal/fake"
)

// newSite starts a fake discovery server and warm workers, and returns the configuration document of a router that uses
// them.
func newSite(t *testing.T, workers int, record func(fake.Event)) (site *fake.Site, listen string, document map[string]any) {
	t.Helper()
	var list []fake.WorkerConfig
	for i := range workers {
		list = append(list, fake.WorkerConfig{Name: fmt.Sprint("s-", i), Addr: "127.0.0.1:0", Kind: "std", Zone: "here", Warm: true, Lanes: 8, Queue: 64})
	}
	site, err := fake.NewSite("127.0.0.1:0", list, record)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	if listen, err = fake.FreeAddr(); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(site.Config(listen), &document); err != nil {
		t.Fatal(err)
	}
	return site, listen, document
}

// configuredTopology returns the endpoint list of a configuration document. The caller may change it in place.
func configuredTopology(document map[string]any) map[string]any {
	batch := document["known"].(map[string]any)["batch"].([]any)
	return batch[0].(map[string]any)["topology"].(map[string]any)
}

// setDeadlines sets the deadline of all classes in a configuration document.
func setDeadlines(document map[string]any, deadline time.Duration) {
	for _, class := range document["settings"].(map[string]any)["classes"].([]any) {
		class.(map[string]any)["deadlineMs"] = deadline.Milliseconds()
		class.(map[string]any)["goalTimeMs"] = deadline.Milliseconds() / 2
	}
}

// earliestKill returns the shortest time between SIGTERM and the platform's kill of a router.
func earliestKill(longestDeadline time.Duration) time.Duration {
	return min(longestDeadline, 3*time.Second) + 700*time.Millisecond
}

func writeConfig(t *testing.T, path string, document map[string]any) {
	t.Helper()
	text, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	writeText(t, path, string(text))
}

func writeText(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// readConfig reads a configuration file as the program does.
func readConfig(path string) (*config.Config, error) {
	return config.Read(func(name string) string { return map[string]string{"EDGE_CONFIG": path}[name] })
}

// testServer is a server that runs in this process until the test ends.
type testServer struct {
	t           *testing.T
	path        string // of its configuration file
	listen      string
	rereads     chan error // the result of each time that the configuration was read again
	stop        func()     // closes Options.Stop; further calls have no effect
	serveResult chan error // what Serve returned
}

// startServer runs a server with a configuration document until the test ends.
func startServer(t *testing.T, document map[string]any, options Options) *testServer {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, document)
	return startServerWithFile(t, path, options)
}

// startServerWithFile runs a server with a configuration file until the test ends.
func startServerWithFile(t *testing.T, path string, options Options) *testServer {
	t.Helper()
	cfg, err := readConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	stopping := make(chan struct{})
	s := &testServer{t: t, path: path, listen: cfg.Listen, rereads: make(chan error, 1), serveResult: make(chan error, 1)}
	s.stop = sync.OnceFunc(func() { close(stopping) })
	options.Stop = stopping
	reread := func() (*config.Config, error) {
		fresh, err := readConfig(path)
		s.rereads <- err
		return fresh, err
	}
	go func() {
		s.serveResult <- Serve(cfg, options, reread)
		close(s.serveResult)
	}()
	t.Cleanup(func() {
		s.stop()
		if err := <-s.serveResult; err != nil {
			t.Error(err)
		}
	})
	return s
}

// dial waits until the server listens, and returns a connected client.
func (s *testServer) dial() *fake.Client {
	s.t.Helper()
	for {
		select {
		case err := <-s.serveResult:
			s.t.Fatalf("Serve returned before the server listened: %v", err)
		default:
		}
		if client, err := fake.Dial(s.listen); err == nil {
			s.t.Cleanup(client.Close)
			return client
		}
	}
}

// reload sends SIGHUP, waits until the server has read the configuration again, and returns the result. The server
// applies the reload one turn later.
func (s *testServer) reload() error {
	s.t.Helper()
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		s.t.Fatal(err)
	}
	return <-s.rereads
}

// drain starts a graceful shutdown and waits until Serve returns.
func (s *testServer) drain() {
	s.t.Helper()
	s.stop()
	if err := <-s.serveResult; err != nil {
		s.t.Error(err)
	}
}

// newRequest returns an idempotent request whose id is n.
func newRequest(n int) fake.Request {
	return fake.Request{Class: "dim-level", ID: fmt.Sprintf("%016x", n), FunctionKey: "7f3a9c21e0b4d655", Timeout: 2 * time.Second, Properties: "lanes:8"}
}

// budgetOf returns the budget in the fields of a RUN command.
func budgetOf(t *testing.T, fields string) time.Duration {
	t.Helper()
	for field := range strings.SplitSeq(fields, ",") {
		if text, ok := strings.CutPrefix(field, "budget="); ok {
			ms, err := strconv.Atoi(text)
			if err != nil {
				t.Fatal(err)
			}
			return time.Duration(ms) * time.Millisecond
		}
	}
	t.Fatalf("no budget in %q", fields)
	return 0
}
