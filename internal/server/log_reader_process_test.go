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

// loggingRouter is a process of the program whose log is a pipe, and a client of it.
type loggingRouter struct {
	t       *testing.T
	process *os.Process
	log     *os.File // to read from
	client  *fake.Client
}

func startLoggingRouter(t *testing.T) *loggingRouter {
	t.Helper()
	_, listen, document := newSite(t, 1, nil)
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	config := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, config, document)
	log, written, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(path)
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+config)
	cmd.Stderr = written
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	written.Close()
	r := &loggingRouter{t: t, process: cmd.Process, log: log}
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
		log.Close()
	})
	for r.client == nil {
		r.client, _ = fake.Dial(listen)
	}
	t.Cleanup(func() { r.client.Close() })
	return r
}

// serveWithReports has the router log its counters before each of some requests, all of which must be served. A report
// has some 2 KiB, and a pipe holds 64 KiB. Signals in quick succession count as one, so each waits for a response.
func (r *loggingRouter) serveWithReports(requests int) {
	r.t.Helper()
	for n := range requests {
		if err := r.process.Signal(syscall.SIGUSR1); err != nil {
			r.t.Fatal(err)
		}
		answered := make(chan error, 1)
		go func() {
			response, err := r.client.Do(newRequest(n))
			if err == nil && response.Status != fake.Served {
				err = fmt.Errorf("status %v", response.Status)
			}
			answered <- err
		}()
		select {
		case err := <-answered:
			if err != nil {
				r.t.Fatalf("request %d: %v", n, err)
			}
		case <-time.After(hangTimeout):
			r.t.Fatalf("request %d got no response", n)
		}
		time.Sleep(time.Millisecond)
	}
}

// A router whose log nobody reads goes on serving, also when it logs more than a pipe holds. Guards against a log
// collector that stops and holds the event loop.
func TestRouterServesWhileNobodyReadsItsLog(t *testing.T) {
	startLoggingRouter(t).serveWithReports(200)
}

// A router goes on serving when the reader of its log has gone. Guards against a log collector that is restarted and
// ends the router with SIGPIPE.
func TestRouterServesAfterTheReaderOfItsLogHasGone(t *testing.T) {
	r := startLoggingRouter(t)
	r.log.Close()
	r.serveWithReports(20)
}
