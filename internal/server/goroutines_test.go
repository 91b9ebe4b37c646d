package server

import (
	"errors"
	"fmt"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
)

// ownGoroutines returns the stacks of the goroutines that this program's packages and nbio have started, except those
// that were started by tests or by the fakes.
func ownGoroutines() []string {
	buffer := make([]byte, 1<<20)
	buffer = buffer[:runtime.Stack(buffer, true)]
	var own []string
	for stack := range strings.SplitSeq(string(buffer), "\n\n") {
		_, creator, found := strings.Cut(stack, "created by ")
		ours := strings.HasPrefix(creator, "crankhold/internal/") || strings.HasPrefix(creator, "github.com/lesismal/nbio")
		if found && ours && !strings.Contains(creator, "_test.go") && !strings.Contains(stack, "/internal/fake/") {
			own = append(own, stack)
		}
	}
	return own
}

// waitForNoOwnGoroutines fails the test if goroutines of this program are left after ten seconds. It checks repeatedly,
// because a goroutine is still listed between its last statement and its end.
func waitForNoOwnGoroutines(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for {
		remaining := ownGoroutines()
		if len(remaining) == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d goroutines are left:\n%s", len(remaining), strings.Join(remaining, "\n\n"))
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// No goroutine of a server is left after Serve has returned, even if requests were served and the configuration was
// reloaded.
func TestNoGoroutineIsLeftAfterServe(t *testing.T) {
	waitForNoOwnGoroutines(t)
	_, _, document := newSite(t, 2, nil)
	server := startServer(t, document, Options{})
	client := server.dial()
	for n := range 3 {
		if response, err := client.Do(newRequest(n + 1)); err != nil || response.Status != "served" {
			t.Fatalf("response %+v, %v", response, err)
		}
	}
	if len(ownGoroutines()) < 2 {
		t.Error("the goroutines of a running server were not found")
	}
	if err := server.reload(); err != nil {
		t.Error(err)
	}
	client.Close()
	server.drain()
	waitForNoOwnGoroutines(t)
}

// No goroutine is left after a server has failed to start.
func TestNoGoroutineIsLeftAfterAFailedStart(t *testing.T) {
	waitForNoOwnGoroutines(t)
	_, _, document := newSite(t, 1, nil)
	document["listen"] = "192.0.2.1:1" // reserved for documentation, so not an address of this machine
	dir := t.TempDir()
	path := filepath.Join(dir, "config.json")
	writeConfig(t, path, document)
	cfg, err := readConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	webhookFile := filepath.Join(dir, "webhook.toml")
	writeText(t, filepath.Join(dir, "hook.key"), "whsec_"+strings.Repeat("aaaa", 16)+"\n")
	writeText(t, webhookFile, fmt.Sprintf("[receiver]\nenabled = true\nlisten = \"127.0.0.1:0\"\nkeys = [{ file = %q }]\n[receiver.ledger]\npath = %q\n",
		filepath.Join(dir, "hook.key"), filepath.Join(dir, "orders.ledger")))
	if err := Serve(cfg, Options{WebhookFile: webhookFile}, nil); !errors.Is(err, syscall.EADDRNOTAVAIL) {
		t.Fatalf("listening on an address of another machine: %v", err)
	}
	waitForNoOwnGoroutines(t)
}
