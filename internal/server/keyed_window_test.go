package server

import (
	"bufio"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"crankhold/internal/fake"
)

// backlogListener is a listener whose backlog a test can fill. A dial then hangs until the kernel retries it a second
// later.
type backlogListener struct {
	*net.TCPListener
	t *testing.T
}

func newBacklogListener(t *testing.T) backlogListener {
	t.Helper()
	return backlogListener{listenLoopback(t).(*net.TCPListener), t}
}

// fillBacklog sets the shortest backlog and fills it, so that dials hang until connections are accepted again.
func (l backlogListener) fillBacklog() {
	raw, err := l.SyscallConn()
	if err != nil {
		l.t.Error(err)
		return
	}
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 0) })
	for range 4 {
		conn, err := net.DialTimeout("tcp", l.Addr().String(), 20*time.Millisecond)
		if err != nil {
			return
		}
		l.t.Cleanup(func() { conn.Close() })
	}
}

// acceptAfter waits, then accepts connections and calls run for each RUN command that arrives on them.
func (l backlogListener) acceptAfter(delay time.Duration, run func(words []string)) {
	time.Sleep(delay)
	serveCommands(l, func(_ net.Conn, words []string) {
		if len(words) == 4 && words[0] == "RUN" {
			run(words)
		}
	})
}

// Workers discard duplicates of a keyed request only during the deduplication window, so a retry must be sent within
// it. An attempt that started within the window but waited for a dial until the window had ended is not sent.
func TestKeyedRequestIsNotRetriedAfterItsWindow(t *testing.T) {
	const window = 1500 * time.Millisecond
	listener := newBacklogListener(t)
	_, _, document := newSite(t, 1, nil)
	configuredTopology(document)["members"].([]any)[0].(map[string]any)["host_port"] = listener.Addr().String()
	settings := document["settings"].(map[string]any)
	limits := settings["limits"].(map[string]any)
	limits["dialTimeoutMs"], limits["mayProbe"] = 3000, false // a health check that times out would cancel the attempt
	class := settings["classes"].([]any)[0].(map[string]any)
	class["semantics"], class["windowMs"], class["deadlineMs"] = "keyed", window.Milliseconds(), 4000
	document["names"] = "127.0.0.1:9" // no server listens here; the fake discovery server would list another worker

	var retries atomic.Int32
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err := readWords(bufio.NewReader(conn)); err != nil {
			t.Error(err)
		}
		listener.fillBacklog()
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close() // the router must assume that the request may have run
		listener.acceptAfter(1300*time.Millisecond, func([]string) { retries.Add(1) })
	}()
	server := startServer(t, document, Options{})
	request := newRequest(1)
	request.IdempotencyKey, request.Timeout = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", 3*time.Second
	response, err := server.dial().Do(request)
	if err != nil || response.Status == fake.Served {
		t.Errorf("response %+v, %v", response, err)
	}
	listener.Close()
	<-stopped
	if got := retries.Load(); got > 0 {
		t.Errorf("the request was retried %d times after its window of %v", got, window)
	}
}

// The budget in a RUN command does not include the time for which the request waited for a dial.
func TestBudgetExcludesTheTimeOfASlowDial(t *testing.T) {
	const timeout = 4 * time.Second
	listener := newBacklogListener(t)
	listener.fillBacklog()
	_, _, document := newSite(t, 1, nil)
	configuredTopology(document)["members"].([]any)[0].(map[string]any)["host_port"] = listener.Addr().String()
	document["settings"].(map[string]any)["limits"].(map[string]any)["dialTimeoutMs"] = 3000
	document["names"] = "127.0.0.1:9"
	runFields := make(chan string, 4)
	go listener.acceptAfter(200*time.Millisecond, func(words []string) { runFields <- words[2] })
	server := startServer(t, document, Options{})
	request := newRequest(1)
	request.Timeout = timeout
	server.dial().Go(request, func(fake.Response, error) {})
	fields := <-runFields
	if budget := budgetOf(t, fields); budget > timeout-800*time.Millisecond { // the kernel tries again after a second
		t.Errorf("the budget is %v of %v after a dial of a second", budget, timeout)
	}
}
