package server

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"crankhold/internal/fake"
)

// hangTimeout is how long a request may take that the router has not forgotten; its own deadline is far shorter.
const hangTimeout = 30 * time.Second

// A router whose log nobody reads goes on serving, also when it logs more than a pipe holds. Guards against a log
// collector that stops and holds the event loop.
func TestRouterServesWhileNobodyReadsItsLog(t *testing.T) {
	_, listen, document := newSite(t, 1, nil)
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	config := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, config, document)
	unread, log, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer unread.Close()
	cmd := exec.Command(path)
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+config)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	log.Close()
	defer cmd.Wait()
	defer cmd.Process.Kill()
	var client *fake.Client
	for client == nil {
		client, _ = fake.Dial(listen)
	}
	defer client.Close()
	// A report has some 2 KiB, and a pipe holds 64 KiB. Signals in quick succession count as one, so each waits for a
	// response.
	const reports = 200
	for n := range reports {
		if err := cmd.Process.Signal(syscall.SIGUSR1); err != nil {
			t.Fatal(err)
		}
		answered := make(chan error, 1)
		go func() {
			response, err := client.Do(newRequest(n))
			if err == nil && response.Status != fake.Served {
				err = fmt.Errorf("status %v", response.Status)
			}
			answered <- err
		}()
		select {
		case err := <-answered:
			if err != nil {
				t.Fatalf("request %d: %v", n, err)
			}
		case <-time.After(hangTimeout):
			t.Fatalf("request %d got no response", n)
		}
		time.Sleep(time.Millisecond)
	}
}
