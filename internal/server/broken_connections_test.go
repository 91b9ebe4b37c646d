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

// faultyWorker handles the first RUN of each request by the function inject, and serves later ones.
type faultyWorker struct {
	mu         sync.Mutex
	runs       map[string]int // RUN commands that were read completely, by id
	inject     func(c *net.TCPConn, id string)
	resetAfter int      // if above 0, the next connection is reset after this many bytes have been read
	closedAddr net.Addr // the router's address of a connection that was closed after a complete response, or nil
	afterwards func()   // called once the client has its response; nil for nothing
}

// servedResponse returns the response of a loaded function to the request with this id.
func servedResponse(id string) string {
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
	resetAfter := w.resetAfter
	w.resetAfter = 0
	w.mu.Unlock()
	if resetAfter > 0 {
		c.SetLinger(0)
		for b := make([]byte, 1); resetAfter > 0; resetAfter-- {
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
				fmt.Fprint(c, servedResponse(words[1]))
			}
		case "HOLD":
			fmt.Fprintf(c, "*4\r\n$%d\r\n%s\r\n$3\r\nHIT\r\n$7\r\ncount=1\r\n$0\r\n\r\n", len(words[1]), words[1])
		case "NOOP", "INFO":
			fmt.Fprintf(c, "*4\r\n$%d\r\n%s\r\n$4\r\nPONG\r\n$1\r\n-\r\n$0\r\n\r\n", len(words[1]), words[1])
		}
	}
}

// finish calls afterwards, if it is set.
func (w *faultyWorker) finish() {
	w.mu.Lock()
	afterwards := w.afterwards
	w.afterwards = nil
	w.mu.Unlock()
	if afterwards != nil {
		afterwards()
	}
}

// waitForClose waits until the router has closed its end of a connection that the worker closed after a complete
// response. An order that the router sends before that may cross the close, and then fails because it may have run.
func (w *faultyWorker) waitForClose(t *testing.T) {
	t.Helper()
	w.mu.Lock()
	closedAddr := w.closedAddr
	w.closedAddr = nil
	w.mu.Unlock()
	if closedAddr == nil {
		return
	}
	addr := closedAddr.(*net.TCPAddr)
	local := fmt.Sprintf("0100007F:%04X", addr.Port) // 127.0.0.1 in the format of proc(5)
	const closeWait, established = "08", "01"
	for waitStart := time.Now(); ; time.Sleep(time.Millisecond) {
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
		if time.Since(waitStart) > 10*time.Second {
			t.Fatalf("the router did not close the connection from %v", addr)
		}
	}
}

// An end-to-end test over sockets: at whatever byte a worker's connection breaks, the client gets exactly one response.
// An idempotent request is served by a retry, one that is not idempotent runs at most once, and a complete response is
// accepted although the connection breaks after it.
func TestConnectionsThatBreakAtAnyByte(t *testing.T) {
	responseSize := len(servedResponse("0000000000000001"))
	respondPartly := func(at int, end func(*net.TCPConn)) func(*net.TCPConn, string) {
		return func(c *net.TCPConn, id string) {
			c.Write([]byte(servedResponse(id)[:at]))
			end(c)
		}
	}
	w := &faultyWorker{runs: map[string]int{}}
	// respondThen records the router's address before it responds, because the client may receive the response before
	// the connection is closed.
	respondThen := func(end func(*net.TCPConn)) func(*net.TCPConn, string) {
		respond := respondPartly(responseSize, end)
		return func(c *net.TCPConn, id string) {
			w.mu.Lock()
			w.closedAddr = c.RemoteAddr()
			w.mu.Unlock()
			respond(c, id)
		}
	}
	closeConn := func(c *net.TCPConn) { c.Close() }
	closeWrite := func(c *net.TCPConn) { c.CloseWrite() }
	resetConn := func(c *net.TCPConn) { c.SetLinger(0); c.Close() }
	keepOpen := func(*net.TCPConn) {}
	type fault struct {
		name       string
		resetAfter int
		inject     func(*net.TCPConn, string)
		accepted   bool // the router accepts the first response
	}
	faults := []fault{
		{"half a request is read, then a reset", 40, nil, false},
		{"a complete response, then a close", 0, respondThen(closeConn), true},
		{"a complete response, then a half-close", 0, respondThen(closeWrite), true},
		{"a complete response one byte at a time", 0, func(c *net.TCPConn, id string) {
			c.SetNoDelay(true)
			for _, b := range []byte(servedResponse(id)) {
				c.Write([]byte{b})
			}
		}, true},
		{"a complete response twice", 0, func(c *net.TCPConn, id string) { fmt.Fprint(c, servedResponse(id), servedResponse(id)) }, true},
		{"a complete response after one to an unknown request", 0, func(c *net.TCPConn, id string) { fmt.Fprint(c, servedResponse("00000000000000ff"), servedResponse(id)) }, true},
		{"a complete response, then malformed bytes once the client has it", 0, func(c *net.TCPConn, id string) {
			w.mu.Lock()
			w.closedAddr = c.RemoteAddr()
			w.afterwards = func() { fmt.Fprint(c, "*-4\r\n") }
			w.mu.Unlock()
			fmt.Fprint(c, servedResponse(id))
		}, true},
		{"a complete response with malformed bytes behind it", 0, func(c *net.TCPConn, id string) { fmt.Fprint(c, servedResponse(id)+"*-4\r\n") }, false},
		{"a response whose body ends at one of its line ends", 0, func(c *net.TCPConn, id string) {
			fmt.Fprint(c, strings.Replace(encodeWords(id, "HIT", "detail=hot", "half\r\ndone"), "$10\r\nhalf", "$4\r\nhalf", 1))
		}, false},
		{"nonsense", 0, func(c *net.TCPConn, id string) { fmt.Fprint(c, "+OK\r\n") }, false},
		{"a response whose array is one element too short", 0, func(c *net.TCPConn, id string) { fmt.Fprint(c, strings.Replace(servedResponse(id), "*4", "*3", 1)) }, false},
		{"a response whose array is two elements too short", 0, func(c *net.TCPConn, id string) { fmt.Fprint(c, strings.Replace(servedResponse(id), "*4", "*2", 1)) }, false},
		{"a response whose array is one element too long", 0, func(c *net.TCPConn, id string) { fmt.Fprint(c, strings.Replace(servedResponse(id), "*4", "*5", 1)) }, false},
		{"a response with an unknown status", 0, func(c *net.TCPConn, id string) { fmt.Fprint(c, strings.Replace(servedResponse(id), "HIT", "HAT", 1)) }, false},
	}
	for _, at := range []int{0, 1, 4, 20, responseSize / 2, responseSize - 3, responseSize - 1} {
		faults = append(faults, fault{fmt.Sprintf("%d bytes of a response, then a close", at), 0, respondPartly(at, closeConn), false},
			fault{fmt.Sprintf("%d bytes of a response, then a reset", at), 0, respondPartly(at, resetConn), false},
			fault{fmt.Sprintf("%d bytes of a response, then a half-close", at), 0, respondPartly(at, closeWrite), false})
	}
	faults = append(faults, fault{"an incomplete response on an open connection", 0, respondPartly(responseSize/2, keepOpen), false})

	_, _, document := newSite(t, 2, nil)
	for _, member := range configuredTopology(document)["members"].([]any) {
		member.(map[string]any)["host_port"] = w.listen(t)
	}
	client := startServer(t, document, Options{}).dial()
	n := 0
	send := func(class string) (fake.Response, int) {
		t.Helper()
		n++
		request := newRequest(n)
		request.Class, request.Timeout = class, 3e9
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		return response, w.runs[request.ID]
	}
	injectNext := func(resetAfter int, inject func(*net.TCPConn, string)) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.resetAfter = resetAfter
		w.inject = inject
	}
	for _, f := range faults {
		for _, class := range []string{"dim-level", "repair-order"} {
			injectNext(f.resetAfter, f.inject)
			response, runs := send(class)
			served := f.accepted || class == "dim-level"
			switch {
			case f.resetAfter > 0 && class == "repair-order": // it is sent on an open connection or on the one that is reset
				if runs > 1 {
					t.Errorf("%s, %s: ran %d times", f.name, class, runs)
				}
			case served && (response.Status != "served" || string(response.Body) != "done"), !served && response.Status != "failed":
				t.Errorf("%s, %s: %s %q after %d runs", f.name, class, response.Status, response.Body, runs)
			case (f.accepted || class == "repair-order") && runs != 1:
				t.Errorf("%s, %s: ran %d times", f.name, class, runs)
			}
			injectNext(0, nil)
			w.finish()
			w.waitForClose(t)
			if response, runs := send("repair-order"); response.Status != "served" || runs != 1 {
				t.Errorf("after %s: the next order was %s after %d runs", f.name, response.Status, runs)
			}
		}
	}
	if extra := client.UnmatchedResponses(); extra > 0 {
		t.Errorf("%d responses match no open request", extra)
	}
}
