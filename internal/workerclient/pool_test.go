package workerclient

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crankhold/internal/endpoint"
	"crankhold/internal/eventloop"
	"crankhold/internal/router"
	"crankhold/internal/testutil"
	"crankhold/policy"
)

// fakeTransport is a connection whose handler the test drives.
type fakeTransport struct {
	testutil.Transport
	handler eventloop.DialHandler
}

// resultRecorder keeps how attempts, orders and health checks ended.
type resultRecorder struct {
	outcomes        map[router.Attempt][]policy.Outcome
	commandOutcomes map[uint64][]policy.Outcome
	beyondBudget    bool // of loads that have waited
	results         map[router.Attempt]router.AttemptResult
}

func (s *resultRecorder) AttemptCompleted(a router.Attempt, r router.AttemptResult) {
	s.outcomes[a] = append(s.outcomes[a], r.Outcome)
	s.results[a] = r
}
func (s *resultRecorder) LoadCompleted(tag uint64, o policy.Outcome, _ int) {
	s.commandOutcomes[tag] = append(s.commandOutcomes[tag], o)
}
func (s *resultRecorder) MaySendLoad(uint64) bool { return !s.beyondBudget }
func (s *resultRecorder) HealthCheckCompleted(tag uint64, o policy.Outcome, _ []float64) {
	s.commandOutcomes[tag] = append(s.commandOutcomes[tag], o)
}

func newPool() (*Pool, *resultRecorder, *[]*fakeTransport) {
	s := &resultRecorder{outcomes: map[router.Attempt][]policy.Outcome{}, commandOutcomes: map[uint64][]policy.Outcome{}, results: map[router.Attempt]router.AttemptResult{}}
	var transports []*fakeTransport
	p := New(Config{Classes: []string{"dim-level"}, ReportFields: []string{"inflight"}, DialTimeout: time.Second,
		KeepAlive: 30 * time.Second, MaxCallsPerConnection: 2, MaxConnections: 100, CancelSupported: true, HealthChecksAllowed: true, Dial: func(_, _ string, _ time.Duration, h eventloop.DialHandler) Transport {
			transports = append(transports, &fakeTransport{handler: h})
			return transports[len(transports)-1]
		}}, s)
	p.SetWorker(1, tcp4("127.0.0.1:1"), policy.Ready)
	return p, s, &transports
}

// tcp4 is one address of IPv4.
func tcp4(addr string) []endpoint.Addr { return []endpoint.Addr{{Network: endpoint.TCP4, Addr: addr}} }

func newRequest(id string) *router.Request {
	return &router.Request{ID: id, Function: router.Function{Key: "00000000000000aa"}, Body: []byte("hello")}
}

func TestResponsesAreReadHoweverTheyAreSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, s, transports := newPool()
		a := router.Attempt{Request: 1}
		p.StartAttempt(1, a, newRequest("0123456789abcdef"), time.Second)
		l := (*transports)[0]
		l.handler.DialCompleted(nil)
		want := "*4\r\n$3\r\nRUN\r\n$16\r\n0123456789abcdef\r\n$49\r\nqueue=dim-level,path=00000000000000aa,budget=1000\r\n$5\r\nhello\r\n"
		if got := l.Written.String(); got != want {
			t.Fatalf("wrote %q", got)
		}
		body := rapid.StringN(0, 200, 400).Draw(t, "body")
		text := fmt.Sprintf("*4\r\n$16\r\n0123456789abcdef\r\n$3\r\nHIT\r\n$29\r\ndetail=hot,use=inflight:7;x:1\r\n$%d\r\n%s\r\n", len(body), body)
		for len(text) > 0 {
			n := rapid.IntRange(1, len(text)).Draw(t, "n")
			l.handler.Data([]byte(text[:n]))
			text = text[n:]
		}
		if len(s.outcomes[a]) != 1 || s.outcomes[a][0] != policy.Served || string(s.results[a].Body) != body || l.Closed {
			t.Fatalf("ended %v with %q, closed %v", s.outcomes[a], s.results[a].Body, l.Closed)
		}
	})
}

func TestAnyBytesCloseTheirConnectionAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, _, transports := newPool()
		p.CheckHealth(1, 1)
		l := (*transports)[0]
		l.handler.DialCompleted(nil)
		bits := rapid.SampledFrom([]string{"*", "4", "\r\n", "$", "2", "99999999999", "p1", "PONG", "-", "HIT", "\x00", "*2\r\n"})
		l.handler.Data([]byte(strings.Join(rapid.SliceOfN(bits, 0, 30).Draw(t, "bits"), "")))
	})
	p, _, transports := newPool()
	p.CheckHealth(1, 1)
	l := (*transports)[0]
	l.handler.DialCompleted(nil)
	if l.handler.Data([]byte("*4\r\n$16449\r\n")); !l.Closed {
		t.Error("a bulk string over the cap was waited for")
	}
}

// The model of a connection: every request ends once, with Reset only if it was written, and never by
// a response to an attempt before it that was cancelled.
func TestCallsEndOnceAndTruly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, s, transports := newPool()
		next, out, up := 0, []router.Attempt{}, map[*fakeTransport]bool{}
		drop := func(i int) { out = append(out[:i], out[i+1:]...) }
		wrote := func(id string) (on []*fakeTransport) {
			for _, l := range *transports {
				if strings.Contains(l.Written.String(), id) {
					on = append(on, l)
				}
			}
			return on
		}
		answered := map[*fakeTransport]map[string]int{}
		runs := func(l *fakeTransport, id string) int { return strings.Count(l.Written.String(), "RUN\r\n$16\r\n"+id) }
		id := func(a router.Attempt) string { return fmt.Sprintf("%016x", int(a.Request)) }
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				next++
				a := router.Attempt{Request: policy.RequestID(next)}
				p.StartAttempt(1, a, newRequest(id(a)), time.Second)
				out = append(out, a)
			},
			"again": func(t *rapid.T) { // cancelled, and sent again to the same worker under the same id
				if len(out) == 0 {
					return
				}
				i := rapid.IntRange(0, len(out)-1).Draw(t, "i")
				a := out[i]
				if len(s.outcomes[a]) > 0 {
					return
				}
				late := map[*fakeTransport]bool{} // connections on which a response to an earlier attempt is due
				for _, l := range *transports {
					late[l] = runs(l, id(a)) > answered[l][id(a)]
				}
				p.CancelAttempt(1, a)
				drop(i)
				b := router.Attempt{Request: a.Request, Number: a.Number + 1}
				p.StartAttempt(1, b, newRequest(id(b)), time.Second)
				out = append(out, b)
				for _, l := range *transports {
					if late[l] && !l.Closed {
						if answered[l] == nil {
							answered[l] = map[string]int{}
						}
						answered[l][id(b)]++
						l.handler.Data([]byte("*4\r\n$16\r\n" + id(b) + "\r\n$3\r\nHIT\r\n$1\r\n-\r\n$3\r\nold\r\n"))
					}
				}
				if string(s.results[b].Body) == "old" {
					t.Fatal("the answer to the first attempt ended the second")
				}
			},
			"dial": func(t *rapid.T) {
				for _, l := range *transports {
					if !up[l] && !l.Closed {
						up[l] = true
						if rapid.Bool().Draw(t, "fails") {
							l.Closed = true
							l.handler.DialCompleted(errors.New("refused"))
						} else {
							l.handler.DialCompleted(nil)
						}
						return
					}
				}
			},
			"reset": func(t *rapid.T) {
				for _, l := range *transports {
					if up[l] && !l.Closed {
						l.Closed = true
						l.handler.Closed(errors.New("reset"))
						return
					}
				}
			},
			"drain": func(t *rapid.T) { // what waits behind a dial ends unsent at once
				p.SetWorker(1, tcp4("127.0.0.1:1"), policy.Draining)
				for _, a := range out {
					if len(s.outcomes[a]) == 0 && len(wrote(id(a))) == 0 {
						t.Fatalf("%v still waits to be sent to a draining worker", a)
					}
				}
				p.SetWorker(1, tcp4("127.0.0.1:1"), policy.Ready)
			},
			"": func(t *rapid.T) {
				for _, l := range *transports {
					if text := l.Written.String(); strings.Count(text, "STOP\r\n") > strings.Count(text, "RUN\r\n") {
						t.Fatalf("gave up what was never sent: %q", text)
					}
				}
				for a, o := range s.outcomes {
					if len(o) != 1 {
						t.Fatalf("%v ended %v", a, o)
					}
					if o[0] == policy.ConnectionReset && len(wrote(id(a))) == 0 {
						t.Fatalf("%v was never written but counts as reset", a)
					}
				}
			},
		})
	})
}

// Guards the drain rule for orders: one queued behind a dial is not sent once its worker drains.
func TestLoadCommandBehindADialIsNotSentToADrainingWorker(t *testing.T) {
	p, s, transports := newPool()
	p.Load(1, 5, 1, 9)
	p.SetWorker(1, tcp4("127.0.0.1:1"), policy.Draining)
	(*transports)[0].handler.DialCompleted(nil)
	if got := (*transports)[0].Written.String(); got != "" || len(s.commandOutcomes[9]) != 1 || s.commandOutcomes[9][0] != policy.Overloaded {
		t.Errorf("wrote %q, ended %v", got, s.commandOutcomes[9])
	}
}

// Guards against a worker that took over the address of one that has gone.
func TestNewWorkerAtAnOldAddressGetsItsOwnConnection(t *testing.T) {
	p, _, transports := newPool()
	p.CheckHealth(1, 1)
	p.RetainWorkers(map[policy.WorkerID]bool{2: true})
	p.SetWorker(2, tcp4("127.0.0.1:1"), policy.Ready)
	p.StartAttempt(2, router.Attempt{Request: 1}, newRequest("0123456789abcdef"), time.Second)
	if len(*transports) != 2 {
		t.Errorf("%d connections", len(*transports))
	}
}

func encodeResponse(id, word, body string) []byte {
	return fmt.Appendf(nil, "*4\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$1\r\n-\r\n$%d\r\n%s\r\n", len(id), id, len(word), word, len(body), body)
}

// transportsWithRun tells on which connections an id was sent.
func transportsWithRun(transports []*fakeTransport, id string) (on []int) {
	for i, l := range transports {
		if strings.Contains(l.Written.String(), "RUN\r\n$16\r\n"+id) {
			on = append(on, i)
		}
	}
	return on
}

// Guards against a second copy of a response: of a miss, say, which would have the next attempt of the
// same request count as one that never ran, and an order be sent once more.
func TestSecondCopyEndsNoLaterAttempt(t *testing.T) {
	p, s, transports := newPool()
	const id = "0123456789abcdef"
	first, second := router.Attempt{Request: 1}, router.Attempt{Request: 1, Number: 1}
	p.StartAttempt(1, first, newRequest(id), time.Second)
	l := (*transports)[0]
	l.handler.DialCompleted(nil)
	l.handler.Data(encodeResponse(id, "NONE", ""))
	p.StartAttempt(1, second, newRequest(id), time.Second)
	l.handler.Data(encodeResponse(id, "NONE", ""))
	l.handler.Data(encodeResponse("unknown", "HIT", "ahead"))
	if len(s.outcomes[second]) != 0 || l.Closed || len(*transports) != 2 {
		t.Fatalf("second attempt ended %v on %d connections", s.outcomes[second], len(*transports))
	}
	(*transports)[1].handler.DialCompleted(nil)
	(*transports)[1].handler.Data(encodeResponse(id, "HIT", "done"))
	if len(s.outcomes[second]) != 1 || string(s.results[second].Body) != "done" || len(transportsWithRun(*transports, id)) != 2 {
		t.Errorf("second attempt ended %v with %q", s.outcomes[second], s.results[second].Body)
	}
	for now := time.Duration(0); now <= 3*idHistoryPeriod; now += MaintenanceInterval {
		p.Maintain(now)
	}
	for _, c := range p.workers[1].connections {
		if len(c.recentIDs.current)+len(c.recentIDs.previous)+len(c.inFlight) != 0 {
			t.Errorf("a connection still remembers %d ids", len(c.recentIDs.current)+len(c.recentIDs.previous))
		}
	}
}

// Guards against a flood of cancelled requests: the ids that a connection remembers are bounded, and one that is
// full gives way to another without a reset for the requests that are open on it.
func TestCanceledRequestsCostNoOtherClientAConnection(t *testing.T) {
	p, s, transports := newPool()
	stays := router.Attempt{Request: 9999}
	p.StartAttempt(1, stays, newRequest("00000000000000ff"), time.Second)
	(*transports)[0].handler.DialCompleted(nil)
	for i := range maxRememberedIDs + 10 {
		a := router.Attempt{Request: policy.RequestID(i)}
		p.StartAttempt(1, a, newRequest(fmt.Sprintf("%016x", 1<<20+i)), time.Second)
		p.CancelAttempt(1, a)
	}
	if (*transports)[0].Closed || len(s.outcomes[stays]) != 0 || len(*transports) != 2 {
		t.Errorf("closed %v, ended %v, %d connections", (*transports)[0].Closed, s.outcomes[stays], len(*transports))
	}
	if n := len(p.workers[1].connections[0].recentIDs.current); n != maxRememberedIDs {
		t.Errorf("%d ids are remembered", n)
	}
}

// Guards against a connection that was cut off: it stays open and says nothing while its worker is well.
// Nothing more goes over it, and what is open on it ends; a worker that is silent altogether keeps its
// connections, for that is for the module to judge.
func TestSilentConnectionIsLeft(t *testing.T) {
	for _, well := range []bool{true, false} {
		p, s, transports := newPool()
		now := time.Hour
		p.Maintain(now)
		a, b := router.Attempt{Request: 1}, router.Attempt{Request: 2}
		p.StartAttempt(1, a, newRequest("00000000000000a1"), time.Second)
		(*transports)[0].handler.DialCompleted(nil)
		pass := func(d time.Duration) {
			for end := now + d; now < end; {
				now += MaintenanceInterval
				p.Maintain(now)
			}
		}
		pass(minSilenceBeforePing + MaintenanceInterval)
		if got := (*transports)[0].Written.String(); strings.Count(got, "NOOP") != 1 {
			t.Fatalf("not asked for a sign of life: %q", got)
		}
		pass(MaintenanceInterval)
		p.StartAttempt(1, b, newRequest("00000000000000b2"), time.Second)
		if on := transportsWithRun(*transports, "00000000000000b2"); len(*transports) != 2 || len(on) != 0 {
			t.Fatalf("a silent connection was chosen, of %d", len(*transports))
		}
		(*transports)[1].handler.DialCompleted(nil)
		if pass(MaintenanceInterval); well {
			(*transports)[1].handler.Data(encodeResponse("00000000000000b2", "HIT", ""))
		}
		if (*transports)[0].Closed {
			t.Fatal("closed before its time for a sign of life was up")
		}
		pass(pingTimeout + MaintenanceInterval)
		if (*transports)[0].Closed != well {
			t.Errorf("worker well: %v, silent connection closed: %v", well, (*transports)[0].Closed)
		}
		if (*transports)[0].handler.Closed(nil); len(s.outcomes[a]) != 1 || s.outcomes[a][0] != policy.ConnectionReset {
			t.Errorf("ended %v", s.outcomes[a])
		}
	}
	p, _, transports := newPool() // a response to a ping makes it good again
	p.StartAttempt(1, router.Attempt{Request: 1}, newRequest("00000000000000a1"), time.Second)
	(*transports)[0].handler.DialCompleted(nil)
	p.Maintain(minSilenceBeforePing + MaintenanceInterval)
	(*transports)[0].handler.Data([]byte("*2\r\n$2\r\nn1\r\n$4\r\nPONG\r\n"))
	if p.StartAttempt(1, router.Attempt{Request: 2}, newRequest("00000000000000b2"), time.Second); len(*transports) != 1 || (*transports)[0].Closed {
		t.Error("a connection that answered was left")
	}
}

// Guards against a response that stops short on an open connection: no more bytes, or a few now and then
// that never make it whole.
func TestTruncatedResponseIsNotWaitedFor(t *testing.T) {
	p, s, transports := newPool()
	a := router.Attempt{Request: 1}
	p.StartAttempt(1, a, newRequest("00000000000000a1"), time.Second)
	l := (*transports)[0]
	l.handler.DialCompleted(nil)
	whole := encodeResponse("00000000000000a1", "HIT", strings.Repeat("x", 1000))
	for i := range int(partialResponseTimeout/MaintenanceInterval) + 2 {
		p.Maintain(time.Hour + time.Duration(i)*MaintenanceInterval)
		if !l.Closed {
			l.handler.Data(whole[i*3 : i*3+3])
		}
	}
	if !l.Closed {
		t.Fatal("the rest of an answer is still waited for")
	}
	l.handler.Data(whole[3*(int(partialResponseTimeout/MaintenanceInterval)+2):]) // too late: nothing that follows counts
	if len(s.outcomes[a]) != 0 {
		t.Errorf("ended %v by what came after the close", s.outcomes[a])
	}
	p.StartAttempt(1, router.Attempt{Request: 2}, newRequest("00000000000000b2"), time.Second)
	if len(*transports) != 2 {
		t.Error("a call went to a connection that we closed")
	}
}

// Guards against copying the beginning of a response anew for each of its bytes.
func TestBeginningOfAResponseIsNotOverwritten(t *testing.T) {
	p, s, transports := newPool()
	a := router.Attempt{Request: 1}
	p.StartAttempt(1, a, newRequest("00000000000000a1"), time.Second)
	(*transports)[0].handler.DialCompleted(nil)
	whole := encodeResponse("00000000000000a1", "HIT", strings.Repeat("x", maxBulkString-64))
	allocs := testing.AllocsPerRun(1, func() {
		for i := range whole {
			(*transports)[0].handler.Data(whole[i : i+1])
		}
	})
	if len(s.outcomes[a]) != 1 || allocs > 60 {
		t.Errorf("ended %v after %v allocations for %d bytes", s.outcomes[a], allocs, len(whole))
	}
}

// Guards workers that are well against connections that break under a health check: it goes over another one, so
// that only a worker that refuses, or breaks them all, counts as having failed it.
func TestHealthCheckOutlivesItsConnection(t *testing.T) {
	for name, c := range map[string]struct {
		resets int
		last   func(l *fakeTransport)
		want   policy.Outcome
	}{
		"well": {1, func(l *fakeTransport) {
			l.handler.DialCompleted(nil)
			l.handler.Data([]byte("*2\r\n$2\r\np7\r\n$4\r\nPONG\r\n"))
		}, policy.Served},
		"died":   {1, func(l *fakeTransport) { l.handler.DialCompleted(errors.New("refused")) }, policy.Unreachable},
		"breaks": {maxHealthCheckResends, func(l *fakeTransport) { l.handler.DialCompleted(nil); l.handler.Closed(errors.New("reset")) }, policy.ConnectionReset},
	} {
		p, s, transports := newPool()
		p.CheckHealth(1, 7)
		for i := range c.resets {
			(*transports)[i].handler.DialCompleted(nil)
			if (*transports)[i].handler.Closed(errors.New("reset")); len(s.commandOutcomes[7]) != 0 || len(*transports) != i+2 {
				t.Fatalf("%s: ended %v on %d connections", name, s.commandOutcomes[7], len(*transports))
			}
		}
		c.last((*transports)[c.resets])
		if len(s.commandOutcomes[7]) != 1 || s.commandOutcomes[7][0] != c.want || len(*transports) != c.resets+1 {
			t.Errorf("%s: ended %v on %d connections", name, s.commandOutcomes[7], len(*transports))
		}
	}
}

// Guards the descriptors: connections to all workers together are bounded, and an idle one makes room.
func TestConnectionsAreBoundedTogether(t *testing.T) {
	p, s, transports := newPool()
	p.cfg.MaxConnections = 3
	for w := range policy.WorkerID(5) {
		p.SetWorker(w+1, tcp4(fmt.Sprintf("127.0.0.1:%d", w+1)), policy.Ready)
		p.StartAttempt(w+1, router.Attempt{Request: policy.RequestID(w)}, newRequest(fmt.Sprintf("%016x", w)), time.Second)
	}
	if len(*transports) != 3 || s.outcomes[router.Attempt{Request: 4}][0] != policy.Unreachable {
		t.Fatalf("%d connections, ended %v", len(*transports), s.outcomes)
	}
	(*transports)[0].handler.DialCompleted(nil)
	(*transports)[0].handler.Data(encodeResponse(fmt.Sprintf("%016x", 0), "HIT", ""))
	p.StartAttempt(5, router.Attempt{Request: 9}, newRequest("00000000000000ff"), time.Second)
	if len(*transports) != 4 || !(*transports)[0].Closed {
		t.Errorf("%d connections, idle one closed: %v", len(*transports), (*transports)[0].Closed)
	}
}

// Guards the long day: generations of workers come and go, some at an address that was another's, and
// nothing about those that are gone stays.
func TestNothingStaysOfGoneWorkers(t *testing.T) {
	p, _, transports := newPool()
	now := time.Duration(0)
	for g := range 200 {
		w := policy.WorkerID(g + 2)
		p.RetainWorkers(map[policy.WorkerID]bool{w: true})
		p.SetWorker(w, tcp4("127.0.0.1:1"), policy.Ready)
		a := router.Attempt{Request: policy.RequestID(g)}
		p.StartAttempt(w, a, newRequest(fmt.Sprintf("%016x", g)), time.Second)
		p.Load(w, 7, 1, uint64(g))
		l := (*transports)[len(*transports)-1]
		if l.handler.DialCompleted(nil); g%2 == 0 {
			l.handler.Data(encodeResponse(fmt.Sprintf("%016x", g), "HIT", ""))
		} else {
			p.CancelAttempt(w, a)
		}
		p.AbandonCommand(w, uint64(g))
		p.RetainWorkers(nil)
		for range 3 {
			now += MaintenanceInterval
			p.Maintain(now)
			for _, l := range *transports {
				if l.Closed && l.handler != nil {
					l.handler.Closed(nil)
					l.handler = nil
				}
			}
		}
	}
	if len(p.workers)+len(p.attempts) != 0 {
		t.Errorf("%d workers and %d calls stay", len(p.workers), len(p.attempts))
	}
}

// Guards a busy worker: a connection that has as many ids to remember as it may gives its place to a fresh one, so
// that thousands of requests a second go on over a bounded number of connections.
func TestFullConnectionsGiveTheirPlace(t *testing.T) {
	p, s, transports := newPool()
	p.cfg.MaxCallsPerConnection = 32
	now, n := time.Hour, 0
	for range 600 { // 30 s at 2,000 requests/s
		for range 100 {
			n++
			id := fmt.Sprintf("%016x", n)
			a := router.Attempt{Request: policy.RequestID(n)}
			p.StartAttempt(1, a, newRequest(id), time.Second)
			for _, l := range *transports {
				if l.handler != nil && l.Written.Len() == 0 && !l.Closed {
					l.handler.DialCompleted(nil)
				}
			}
			for _, l := range *transports {
				if l.handler != nil && !l.Closed && strings.Contains(l.Written.String(), id) {
					l.handler.Data(encodeResponse(id, "HIT", ""))
					l.Written.Reset()
					l.Written.WriteString("-")
				}
			}
			if len(s.outcomes[a]) != 1 || s.outcomes[a][0] != policy.Served {
				t.Fatalf("call %d at %v ended %v on %d connections", n, now-time.Hour, s.outcomes[a], len(p.workers[1].connections))
			}
		}
		now += MaintenanceInterval
		p.Maintain(now)
		for _, l := range *transports {
			if l.Closed && l.handler != nil {
				l.handler.Closed(nil)
				l.handler = nil
			}
		}
	}
}

// Guards the budget of load commands: one that waited for a dial is not sent where the requests that paid for it have left
// the budget's window meanwhile. One that is sent at once has just been decided on.
func TestLoadBeyondItsBudgetIsNotSentAfterTheDial(t *testing.T) {
	for _, beyond := range []bool{true, false} {
		p, s, transports := newPool()
		s.beyondBudget = beyond
		p.Load(1, 5, 1, 9)
		p.Load(1, 5, 0, 10) // asks, and orders nothing
		p.SetNow(time.Second)
		transport := (*transports)[0]
		transport.handler.DialCompleted(nil)
		if sent := strings.Contains(transport.Written.String(), "count=1"); sent == beyond {
			t.Errorf("beyond its budget %v, sent %v", beyond, sent)
		}
		if beyond != slices.Equal(s.commandOutcomes[9], []policy.Outcome{policy.Overloaded}) {
			t.Errorf("beyond its budget %v, ended %v", beyond, s.commandOutcomes[9])
		}
		if !strings.Contains(transport.Written.String(), "count=0") {
			t.Error("the question was not sent")
		}
		if p.Load(1, 6, 1, 11); !strings.Contains(transport.Written.String(), "h11") {
			t.Error("a load that did not wait was not sent")
		}
	}
}

// Where the settings allow no probes, none is sent on a connection that is silent. It takes nothing new all the same.
func TestNoHealthCheckIsSentWhereNoneIsAllowed(t *testing.T) {
	p, _, transports := newPool()
	p.cfg.HealthChecksAllowed = false
	p.StartAttempt(1, router.Attempt{Request: 1}, newRequest("0123456789abcdef"), time.Minute)
	silent := (*transports)[0]
	silent.handler.DialCompleted(nil)
	for at := time.Duration(0); at < 5*time.Second; at += MaintenanceInterval {
		p.Maintain(at)
	}
	p.StartAttempt(1, router.Attempt{Request: 2}, newRequest("0123456789abcdee"), time.Minute)
	if len(*transports) < 2 || strings.Contains(silent.Written.String(), "0123456789abcdee") {
		t.Error("a silent connection takes a further request")
	}
	if strings.Contains(silent.Written.String(), "NOOP") {
		t.Errorf("it was probed: %q", silent.Written.String())
	}
	silent.handler.Data(encodeResponse("0123456789abcdef", "HIT", ""))
	p.StartAttempt(1, router.Attempt{Request: 3}, newRequest("0123456789abcded"), time.Minute)
	if !strings.Contains(silent.Written.String(), "0123456789abcded") {
		t.Error("a connection that has responded takes nothing")
	}
}

// An address that failed counts again once it connects, where no probe may ask it for a sign of life.
func TestAddressRecoversWithoutAHealthCheck(t *testing.T) {
	p, _, transports, _ := newPoolWithTwoAddresses()
	p.cfg.HealthChecksAllowed = false
	p.StartAttempt(7, attempt, newRequest(requestID), time.Minute)
	(*transports)[0].handler.DialCompleted(errors.New("refused"))
	(*transports)[1].handler.DialCompleted(nil)
	for at := time.Duration(0); at < 20*time.Second; at += MaintenanceInterval {
		p.Maintain(at)
		for _, transport := range (*transports)[2:] {
			if !transport.Closed {
				transport.handler.DialCompleted(nil)
			}
		}
	}
	if p.Counters.RecoveryDials == 0 || p.workers[7].addresses.Unavailable() > 0 {
		t.Errorf("%d recovery dials, %d addresses are down", p.Counters.RecoveryDials, p.workers[7].addresses.Unavailable())
	}
	for i, transport := range *transports {
		if strings.Contains(transport.Written.String(), "NOOP") {
			t.Errorf("connection %d was probed: %q", i, transport.Written.String())
		}
	}
}
