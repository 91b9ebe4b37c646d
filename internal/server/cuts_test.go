package server

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"

	"crankhold/internal/fake"
)

// cutter is a worker that does to the first whole RUN of each call what it is told, and serves what comes later.
type cutter struct {
	mu   sync.Mutex
	runs map[string]int // whole ones that came, by id
	does func(c *net.TCPConn, id string)
	part int // above 0: so many bytes of the first RUN on a connection are read, and the connection is reset
}

func answerTo(id string) string {
	return fmt.Sprintf("*4\r\n$%d\r\n%s\r\n$3\r\nHIT\r\n$10\r\ndetail=hot\r\n$4\r\ndone\r\n", len(id), id)
}

func (w *cutter) listen(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go w.serve(c.(*net.TCPConn))
		}
	}()
	return ln.Addr().String()
}

func (w *cutter) serve(c *net.TCPConn) {
	defer c.Close()
	w.mu.Lock()
	part := w.part
	w.part = 0
	w.mu.Unlock()
	if part > 0 {
		c.SetLinger(0)
		for b := make([]byte, 1); part > 0; part-- {
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
			first, does := w.runs[words[1]] == 1, w.does
			w.mu.Unlock()
			if first && does != nil {
				does(c, words[1])
			} else {
				fmt.Fprint(c, answerTo(words[1]))
			}
		case "HOLD":
			fmt.Fprintf(c, "*4\r\n$%d\r\n%s\r\n$3\r\nHIT\r\n$7\r\ncount=1\r\n$0\r\n\r\n", len(words[1]), words[1])
		case "NOOP", "INFO":
			fmt.Fprintf(c, "*4\r\n$%d\r\n%s\r\n$4\r\nPONG\r\n$1\r\n-\r\n$0\r\n\r\n", len(words[1]), words[1])
		}
	}
}

// From socket to socket: whatever a worker's connection does to a call, at whichever byte, its client gets one answer; what
// may be repeated is served elsewhere, what must not runs once at the most, and an answer that came whole counts though
// the connection ends behind it.
func TestConnectionsThatEndAtAnyByte(t *testing.T) {
	whole := len(answerTo("0000000000000001"))
	cut := func(at int, end func(*net.TCPConn)) func(*net.TCPConn, string) {
		return func(c *net.TCPConn, id string) {
			c.Write([]byte(answerTo(id)[:at]))
			end(c)
		}
	}
	closed := func(c *net.TCPConn) { c.Close() }
	half := func(c *net.TCPConn) { c.CloseWrite() }
	reset := func(c *net.TCPConn) { c.SetLinger(0); c.Close() }
	stays := func(*net.TCPConn) {}
	type fault struct {
		name string
		part int
		does func(*net.TCPConn, string)
		kept bool // the first answer counts
	}
	faults := []fault{
		{"half a call is read, then a reset", 40, nil, false},
		{"a whole answer, then a close", 0, cut(whole, closed), true},
		{"a whole answer, then a half-close", 0, cut(whole, half), true},
		{"a whole answer a byte at a time", 0, func(c *net.TCPConn, id string) {
			c.SetNoDelay(true)
			for _, b := range []byte(answerTo(id)) {
				c.Write([]byte{b})
			}
		}, true},
		{"a whole answer twice", 0, func(c *net.TCPConn, id string) { fmt.Fprint(c, answerTo(id), answerTo(id)) }, true},
		{"a whole answer behind one to nobody", 0, func(c *net.TCPConn, id string) { fmt.Fprint(c, answerTo("00000000000000ff"), answerTo(id)) }, true},
		{"a whole answer, then nonsense", 0, func(c *net.TCPConn, id string) { fmt.Fprint(c, answerTo(id), "*-4\r\n") }, true},
		{"nonsense", 0, func(c *net.TCPConn, id string) { fmt.Fprint(c, "+OK\r\n") }, false},
		{"an answer of a word that there is not", 0, func(c *net.TCPConn, id string) { fmt.Fprint(c, strings.Replace(answerTo(id), "HIT", "HAT", 1)) }, false},
	}
	for _, at := range []int{0, 1, 4, 20, whole / 2, whole - 3, whole - 1} {
		faults = append(faults, fault{fmt.Sprintf("%d bytes of an answer, then a close", at), 0, cut(at, closed), false},
			fault{fmt.Sprintf("%d bytes of an answer, then a reset", at), 0, cut(at, reset), false},
			fault{fmt.Sprintf("%d bytes of an answer, then a half-close", at), 0, cut(at, half), false})
	}
	faults = append(faults, fault{"an answer that does not go on", 0, cut(whole/2, stays), false})

	w := &cutter{runs: map[string]int{}}
	_, _, document := siteFor(t, 2, nil)
	for _, member := range firstTopology(document)["members"].([]any) {
		member.(map[string]any)["host_port"] = w.listen(t)
	}
	client := startServer(t, document, Options{}).dial()
	n := 0
	do := func(class string) (fake.Answer, int) {
		t.Helper()
		n++
		call := callOf(n)
		call.Class, call.Wait = class, 3e9
		a, err := client.Do(call)
		if err != nil {
			t.Fatal(err)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		return a, w.runs[call.ID]
	}
	set := func(part int, does func(*net.TCPConn, string)) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.part, w.does = part, does
	}
	for _, f := range faults {
		for _, class := range []string{"dim-level", "repair-order"} {
			set(f.part, f.does)
			a, runs := do(class)
			served := f.kept || class == "dim-level"
			switch {
			case f.part > 0 && class == "repair-order": // it may go on over a connection that stands, or be cut itself
				if runs > 1 {
					t.Errorf("%s, %s: ran %d times", f.name, class, runs)
				}
			case served && (a.Verdict != "served" || string(a.Body) != "done"), !served && a.Verdict != "failed":
				t.Errorf("%s, %s: %s %q after %d runs", f.name, class, a.Verdict, a.Body, runs)
			case (f.kept || class == "repair-order") && runs != 1:
				t.Errorf("%s, %s: ran %d times", f.name, class, runs)
			}
			set(0, nil)
			if a, runs := do("repair-order"); a.Verdict != "served" || runs != 1 {
				t.Errorf("after %s: the next order %s after %d runs", f.name, a.Verdict, runs)
			}
		}
	}
	if extra := client.Extra(); extra > 0 {
		t.Errorf("%d answers to no open call", extra)
	}
}
