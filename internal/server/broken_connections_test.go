package server

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"crankhold/internal/fake"
)

// faultyWorker does to the first RUN of each request what a test injects, and serves the later ones.
type faultyWorker struct {
	mu      sync.Mutex
	runs    map[string]int // RUN commands that were read whole, by id
	inject  func(c *net.TCPConn, id string)
	partial int      // if above 0, the next connection is reset after this many bytes have been read
	ended   net.Addr // the router's end of a connection that was ended behind a whole response; nil: none was
}

// responseTo is the response of a loaded function to the request of that id.
func responseTo(id string) string {
	return encodeWords(id, "HIT", "detail=hot", "done")
}

func (w *faultyWorker) listen(t *testing.T) string {
	t.Helper()
	ln := listenLoopback(t)
	go serveConnections(ln, func(c net.Conn) { w.serve(c.(*net.TCPConn)) })
	return ln.Addr().String()
}

func (w *faultyWorker) serve(c *net.TCPConn) {
	w.mu.Lock()
	partial := w.partial
	w.partial = 0
	w.mu.Unlock()
	if partial > 0 {
		c.SetLinger(0)
		for b := make([]byte, 1); partial > 0; partial-- {
			if _, err := c.Read(b); err != nil {
				return
			}
		}
		return
	}
	for in := bufio.NewReader(c); ; {
		words, err := readWords(in)
		if err != nil || len(words) < 2 {
			return
		}
		switch words[0] {
		case "RUN":
			w.mu.Lock()
			w.runs[words[1]]++
			first := w.runs[words[1]] == 1
			inject := w.inject
			w.mu.Unlock()
			if first && inject != nil {
				inject(c, words[1])
			} else {
				fmt.Fprint(c, responseTo(words[1]))
			}
		case "HOLD":
			fmt.Fprintf(c, "*4\r\n$%d\r\n%s\r\n$3\r\nHIT\r\n$7\r\ncount=1\r\n$0\r\n\r\n", len(words[1]), words[1])
		case "NOOP", "INFO":
			fmt.Fprintf(c, "*4\r\n$%d\r\n%s\r\n$4\r\nPONG\r\n$1\r\n-\r\n$0\r\n\r\n", len(words[1]), words[1])
		}
	}
}

// awaitEnd waits until the router has closed its end of a connection that was ended behind a whole response. An order that
// is sent before may cross the end, and fails then as one that may have run.
func (w *faultyWorker) awaitEnd(t *testing.T) {
	t.Helper()
	w.mu.Lock()
	ended := w.ended
	w.ended = nil
	w.mu.Unlock()
	if ended == nil {
		return
	}
	addr := ended.(*net.TCPAddr)
	local := fmt.Sprintf("0100007F:%04X", addr.Port) // 127.0.0.1, as proc(5) words it
	const closeWait, established = "08", "01"
	for begun := time.Now(); ; time.Sleep(time.Millisecond) {
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			t.Fatal(err)
		}
		open := false
		for line := range strings.Lines(string(table)) {
			fields := strings.Fields(line)
			open = open || len(fields) > 3 && fields[1] == local && (fields[3] == closeWait || fields[3] == established)
		}
		if !open {
			return
		}
		if time.Since(begun) > 10*time.Second {
			t.Fatalf("the router keeps the connection from %v", addr)
		}
	}
}

// From socket to socket: wherever a worker's connection breaks, the client gets exactly one response. An idempotent request is
// served by a retry, one that is not idempotent runs at most once, and a response that came whole counts although the
// connection ended after it.
func TestConnectionsThatEndAtAnyByte(t *testing.T) {
	whole := len(responseTo("0000000000000001"))
	cut := func(at int, end func(*net.TCPConn)) func(*net.TCPConn, string) {
		return func(c *net.TCPConn, id string) {
			c.Write([]byte(responseTo(id)[:at]))
			end(c)
		}
	}
	w := &faultyWorker{runs: map[string]int{}}
	// thenEnds notes the router's end before it responds: the client may have the answer before the connection ends.
	thenEnds := func(end func(*net.TCPConn)) func(*net.TCPConn, string) {
		respond := cut(whole, end)
		return func(c *net.TCPConn, id string) {
			w.mu.Lock()
			w.ended = c.RemoteAddr()
			w.mu.Unlock()
			respond(c, id)
		}
	}
	closed := func(c *net.TCPConn) { c.Close() }
	half := func(c *net.TCPConn) { c.CloseWrite() }
	reset := func(c *net.TCPConn) { c.SetLinger(0); c.Close() }
	stays := func(*net.TCPConn) {}
	type fault struct {
		name    string
		partial int
		inject  func(*net.TCPConn, string)
		counts  bool // the first response counts
	}
	faults := []fault{
		{"half a call is read, then a reset", 40, nil, false},
		{"a whole answer, then a close", 0, thenEnds(closed), true},
		{"a whole answer, then a half-close", 0, thenEnds(half), true},
		{"a whole answer a byte at a time", 0, func(c *net.TCPConn, id string) {
			c.SetNoDelay(true)
			for _, b := range []byte(responseTo(id)) {
				c.Write([]byte{b})
			}
		}, true},
		{"a whole answer twice", 0, func(c *net.TCPConn, id string) { fmt.Fprint(c, responseTo(id), responseTo(id)) }, true},
		{"a whole answer behind one to nobody", 0, func(c *net.TCPConn, id string) { fmt.Fprint(c, responseTo("00000000000000ff"), responseTo(id)) }, true},
		{"a whole answer, then nonsense", 0, func(c *net.TCPConn, id string) { fmt.Fprint(c, responseTo(id), "*-4\r\n") }, true},
		{"nonsense", 0, func(c *net.TCPConn, id string) { fmt.Fprint(c, "+OK\r\n") }, false},
		{"an answer of a word that there is not", 0, func(c *net.TCPConn, id string) { fmt.Fprint(c, strings.Replace(responseTo(id), "HIT", "HAT", 1)) }, false},
	}
	for _, at := range []int{0, 1, 4, 20, whole / 2, whole - 3, whole - 1} {
		faults = append(faults, fault{fmt.Sprintf("%d bytes of an answer, then a close", at), 0, cut(at, closed), false},
			fault{fmt.Sprintf("%d bytes of an answer, then a reset", at), 0, cut(at, reset), false},
			fault{fmt.Sprintf("%d bytes of an answer, then a half-close", at), 0, cut(at, half), false})
	}
	faults = append(faults, fault{"an answer that does not go on", 0, cut(whole/2, stays), false})

	_, _, document := siteFor(t, 2, nil)
	for _, member := range firstTopology(document)["members"].([]any) {
		member.(map[string]any)["host_port"] = w.listen(t)
	}
	client := startServer(t, document, Options{}).dial()
	n := 0
	do := func(class string) (fake.Response, int) {
		t.Helper()
		n++
		call := callOf(n)
		call.Class, call.Timeout = class, 3e9
		a, err := client.Do(call)
		if err != nil {
			t.Fatal(err)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		return a, w.runs[call.ID]
	}
	set := func(partial int, inject func(*net.TCPConn, string)) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.partial = partial
		w.inject = inject
	}
	for _, f := range faults {
		for _, class := range []string{"dim-level", "repair-order"} {
			set(f.partial, f.inject)
			a, runs := do(class)
			served := f.counts || class == "dim-level"
			switch {
			case f.partial > 0 && class == "repair-order": // it may go on over a connection that stands, or be cut itself
				if runs > 1 {
					t.Errorf("%s, %s: ran %d times", f.name, class, runs)
				}
			case served && (a.Status != "served" || string(a.Body) != "done"), !served && a.Status != "failed":
				t.Errorf("%s, %s: %s %q after %d runs", f.name, class, a.Status, a.Body, runs)
			case (f.counts || class == "repair-order") && runs != 1:
				t.Errorf("%s, %s: ran %d times", f.name, class, runs)
			}
			set(0, nil)
			w.awaitEnd(t)
			if a, runs := do("repair-order"); a.Status != "served" || runs != 1 {
				t.Errorf("after %s: the next order %s after %d runs", f.name, a.Status, runs)
			}
		}
	}
	if extra := client.UnmatchedResponses(); extra > 0 {
		t.Errorf("%d answers to no open call", extra)
	}
}
