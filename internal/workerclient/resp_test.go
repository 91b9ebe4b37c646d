package workerclient

import (
	"errors"
	"fmt"
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

// line is a connection whose handler the test drives.
type line struct {
	testutil.Transport
	h eventloop.DialHandler
}

// sink keeps how attempts, orders and probes ended.
type sink struct {
	ended map[router.Attempt][]policy.Outcome
	asked map[uint64][]policy.Outcome
	reply map[router.Attempt]router.AttemptResult
}

func (s *sink) AttemptCompleted(a router.Attempt, r router.AttemptResult) {
	s.ended[a] = append(s.ended[a], r.Outcome)
	s.reply[a] = r
}
func (s *sink) LoadCompleted(tag uint64, o policy.Outcome, _ int) {
	s.asked[tag] = append(s.asked[tag], o)
}
func (s *sink) HealthCheckCompleted(tag uint64, o policy.Outcome, _ []float64) {
	s.asked[tag] = append(s.asked[tag], o)
}

func newPool() (*Pool, *sink, *[]*line) {
	s := &sink{map[router.Attempt][]policy.Outcome{}, map[uint64][]policy.Outcome{}, map[router.Attempt]router.AttemptResult{}}
	var lines []*line
	p := New(Config{Classes: []string{"dim-level"}, ReportFields: []string{"inflight"}, DialTimeout: time.Second,
		KeepAlive: 30 * time.Second, MaxCallsPerConnection: 2, MaxConnections: 100, CancelSupported: true, Dial: func(_, _ string, _ time.Duration, h eventloop.DialHandler) Transport {
			lines = append(lines, &line{h: h})
			return lines[len(lines)-1]
		}}, s)
	p.SetWorker(1, at("127.0.0.1:1"), policy.Ready)
	return p, s, &lines
}

// at is one address of IPv4.
func at(addr string) []endpoint.Addr { return []endpoint.Addr{{Network: endpoint.TCP4, Addr: addr}} }

func request(id string) *router.Request {
	return &router.Request{ID: id, FunctionKey: "00000000000000aa", Body: []byte("hello")}
}

func TestAnswersAreReadHoweverTheyAreSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, s, lines := newPool()
		a := router.Attempt{Request: 1}
		p.StartAttempt(1, a, request("0123456789abcdef"), time.Second)
		l := (*lines)[0]
		l.h.DialCompleted(nil)
		want := "*4\r\n$3\r\nRUN\r\n$16\r\n0123456789abcdef\r\n$49\r\nqueue=dim-level,path=00000000000000aa,budget=1000\r\n$5\r\nhello\r\n"
		if got := l.Wrote.String(); got != want {
			t.Fatalf("wrote %q", got)
		}
		body := rapid.StringN(0, 200, 400).Draw(t, "body")
		text := fmt.Sprintf("*4\r\n$16\r\n0123456789abcdef\r\n$3\r\nHIT\r\n$29\r\ndetail=hot,use=inflight:7;x:1\r\n$%d\r\n%s\r\n", len(body), body)
		for len(text) > 0 {
			n := rapid.IntRange(1, len(text)).Draw(t, "n")
			l.h.Data([]byte(text[:n]))
			text = text[n:]
		}
		if len(s.ended[a]) != 1 || s.ended[a][0] != policy.Served || string(s.reply[a].Body) != body || l.HasClosed {
			t.Fatalf("ended %v with %q, closed %v", s.ended[a], s.reply[a].Body, l.HasClosed)
		}
	})
}

func TestAnyBytesCloseTheirConnectionAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, _, lines := newPool()
		p.CheckHealth(1, 1)
		l := (*lines)[0]
		l.h.DialCompleted(nil)
		bits := rapid.SampledFrom([]string{"*", "4", "\r\n", "$", "2", "99999999999", "p1", "PONG", "-", "HIT", "\x00", "*2\r\n"})
		l.h.Data([]byte(strings.Join(rapid.SliceOfN(bits, 0, 30).Draw(t, "bits"), "")))
	})
	p, _, lines := newPool()
	p.CheckHealth(1, 1)
	l := (*lines)[0]
	l.h.DialCompleted(nil)
	if l.h.Data([]byte("*4\r\n$16449\r\n")); !l.HasClosed {
		t.Error("a bulk string over the cap was waited for")
	}
}

// The model of a connection: every call ends once, with Reset only if it was written, and never by
// an answer to an attempt before it that was given up.
func TestCallsEndOnceAndTruly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, s, lines := newPool()
		next, out, up := 0, []router.Attempt{}, map[*line]bool{}
		drop := func(i int) { out = append(out[:i], out[i+1:]...) }
		wrote := func(id string) (on []*line) {
			for _, l := range *lines {
				if strings.Contains(l.Wrote.String(), id) {
					on = append(on, l)
				}
			}
			return on
		}
		answered := map[*line]map[string]int{}
		runs := func(l *line, id string) int { return strings.Count(l.Wrote.String(), "RUN\r\n$16\r\n"+id) }
		id := func(a router.Attempt) string { return fmt.Sprintf("%016x", int(a.Request)) }
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				next++
				a := router.Attempt{Request: policy.RequestID(next)}
				p.StartAttempt(1, a, request(id(a)), time.Second)
				out = append(out, a)
			},
			"again": func(t *rapid.T) { // given up, and sent again to the same worker under the same id
				if len(out) == 0 {
					return
				}
				i := rapid.IntRange(0, len(out)-1).Draw(t, "i")
				a := out[i]
				if len(s.ended[a]) > 0 {
					return
				}
				late := map[*line]bool{} // connections on which an answer to an earlier attempt is due
				for _, l := range *lines {
					late[l] = runs(l, id(a)) > answered[l][id(a)]
				}
				p.CancelAttempt(1, a)
				drop(i)
				b := router.Attempt{Request: a.Request, Number: a.Number + 1}
				p.StartAttempt(1, b, request(id(b)), time.Second)
				out = append(out, b)
				for _, l := range *lines {
					if late[l] && !l.HasClosed {
						if answered[l] == nil {
							answered[l] = map[string]int{}
						}
						answered[l][id(b)]++
						l.h.Data([]byte("*4\r\n$16\r\n" + id(b) + "\r\n$3\r\nHIT\r\n$1\r\n-\r\n$3\r\nold\r\n"))
					}
				}
				if string(s.reply[b].Body) == "old" {
					t.Fatal("the answer to the first attempt ended the second")
				}
			},
			"dial": func(t *rapid.T) {
				for _, l := range *lines {
					if !up[l] && !l.HasClosed {
						up[l] = true
						if rapid.Bool().Draw(t, "fails") {
							l.HasClosed = true
							l.h.DialCompleted(errors.New("refused"))
						} else {
							l.h.DialCompleted(nil)
						}
						return
					}
				}
			},
			"reset": func(t *rapid.T) {
				for _, l := range *lines {
					if up[l] && !l.HasClosed {
						l.HasClosed = true
						l.h.Closed(errors.New("reset"))
						return
					}
				}
			},
			"drain": func(t *rapid.T) { // what waits behind a dial ends unsent at once
				p.SetWorker(1, at("127.0.0.1:1"), policy.Draining)
				for _, a := range out {
					if len(s.ended[a]) == 0 && len(wrote(id(a))) == 0 {
						t.Fatalf("%v still waits to be sent to a draining worker", a)
					}
				}
				p.SetWorker(1, at("127.0.0.1:1"), policy.Ready)
			},
			"": func(t *rapid.T) {
				for _, l := range *lines {
					if text := l.Wrote.String(); strings.Count(text, "STOP\r\n") > strings.Count(text, "RUN\r\n") {
						t.Fatalf("gave up what was never sent: %q", text)
					}
				}
				for a, o := range s.ended {
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
func TestOrderBehindADialIsNotSentToADrainingWorker(t *testing.T) {
	p, s, lines := newPool()
	p.Load(1, 5, 1, 9)
	p.SetWorker(1, at("127.0.0.1:1"), policy.Draining)
	(*lines)[0].h.DialCompleted(nil)
	if got := (*lines)[0].Wrote.String(); got != "" || len(s.asked[9]) != 1 || s.asked[9][0] != policy.Overloaded {
		t.Errorf("wrote %q, ended %v", got, s.asked[9])
	}
}

// Guards against a worker that took over the address of one that has gone.
func TestNewWorkerAtAnOldAddressGetsItsOwnConnection(t *testing.T) {
	p, _, lines := newPool()
	p.CheckHealth(1, 1)
	p.RetainWorkers(map[policy.WorkerID]bool{2: true})
	p.SetWorker(2, at("127.0.0.1:1"), policy.Ready)
	p.StartAttempt(2, router.Attempt{Request: 1}, request("0123456789abcdef"), time.Second)
	if len(*lines) != 2 {
		t.Errorf("%d connections", len(*lines))
	}
}

func reply(id, word, body string) []byte {
	return fmt.Appendf(nil, "*4\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$1\r\n-\r\n$%d\r\n%s\r\n", len(id), id, len(word), word, len(body), body)
}

// ran tells on which connections an id was sent.
func ran(lines []*line, id string) (on []int) {
	for i, l := range lines {
		if strings.Contains(l.Wrote.String(), "RUN\r\n$16\r\n"+id) {
			on = append(on, i)
		}
	}
	return on
}

// Guards against a second copy of an answer: of a miss, say, which would have the next attempt of the
// same request count as one that never ran, and an order be sent once more.
func TestSecondCopyEndsNoLaterAttempt(t *testing.T) {
	p, s, lines := newPool()
	const id = "0123456789abcdef"
	first, second := router.Attempt{Request: 1}, router.Attempt{Request: 1, Number: 1}
	p.StartAttempt(1, first, request(id), time.Second)
	l := (*lines)[0]
	l.h.DialCompleted(nil)
	l.h.Data(reply(id, "NONE", ""))
	p.StartAttempt(1, second, request(id), time.Second)
	l.h.Data(reply(id, "NONE", ""))
	l.h.Data(reply("unknown", "HIT", "ahead"))
	if len(s.ended[second]) != 0 || l.HasClosed || len(*lines) != 2 {
		t.Fatalf("second attempt ended %v on %d connections", s.ended[second], len(*lines))
	}
	(*lines)[1].h.DialCompleted(nil)
	(*lines)[1].h.Data(reply(id, "HIT", "done"))
	if len(s.ended[second]) != 1 || string(s.reply[second].Body) != "done" || len(ran(*lines, id)) != 2 {
		t.Errorf("second attempt ended %v with %q", s.ended[second], s.reply[second].Body)
	}
	for now := time.Duration(0); now <= 3*rememberFor; now += MaintenanceInterval {
		p.Maintain(now)
	}
	for _, c := range p.workers[1].conns {
		if len(c.ended.now)+len(c.ended.before)+len(c.open) != 0 {
			t.Errorf("a connection still remembers %d ids", len(c.ended.now)+len(c.ended.before))
		}
	}
}

// Guards against a flood of takebacks: the ids that a connection remembers are bounded, and one that is
// full gives way to another without a reset for the calls that are open on it.
func TestTakebacksCostNobodyElseAConnection(t *testing.T) {
	p, s, lines := newPool()
	stays := router.Attempt{Request: 9999}
	p.StartAttempt(1, stays, request("00000000000000ff"), time.Second)
	(*lines)[0].h.DialCompleted(nil)
	for i := range rememberMost + 10 {
		a := router.Attempt{Request: policy.RequestID(i)}
		p.StartAttempt(1, a, request(fmt.Sprintf("%016x", 1<<20+i)), time.Second)
		p.CancelAttempt(1, a)
	}
	if (*lines)[0].HasClosed || len(s.ended[stays]) != 0 || len(*lines) != 2 {
		t.Errorf("closed %v, ended %v, %d connections", (*lines)[0].HasClosed, s.ended[stays], len(*lines))
	}
	if n := len(p.workers[1].conns[0].ended.now); n != rememberMost {
		t.Errorf("%d ids are remembered", n)
	}
}

// Guards against a connection that was cut off: it stays open and says nothing while its worker is well.
// Nothing more goes over it, and what is open on it ends; a worker that is silent altogether keeps its
// connections, for that is for the module to judge.
func TestSilentConnectionIsLeft(t *testing.T) {
	for _, well := range []bool{true, false} {
		p, s, lines := newPool()
		now := time.Hour
		p.Maintain(now)
		a, b := router.Attempt{Request: 1}, router.Attempt{Request: 2}
		p.StartAttempt(1, a, request("00000000000000a1"), time.Second)
		(*lines)[0].h.DialCompleted(nil)
		pass := func(d time.Duration) {
			for end := now + d; now < end; {
				now += MaintenanceInterval
				p.Maintain(now)
			}
		}
		pass(quietAfter + MaintenanceInterval)
		if got := (*lines)[0].Wrote.String(); strings.Count(got, "NOOP") != 1 {
			t.Fatalf("not asked for a sign of life: %q", got)
		}
		pass(MaintenanceInterval)
		p.StartAttempt(1, b, request("00000000000000b2"), time.Second)
		if on := ran(*lines, "00000000000000b2"); len(*lines) != 2 || len(on) != 0 {
			t.Fatalf("a silent connection was chosen, of %d", len(*lines))
		}
		(*lines)[1].h.DialCompleted(nil)
		if pass(MaintenanceInterval); well {
			(*lines)[1].h.Data(reply("00000000000000b2", "HIT", ""))
		}
		if (*lines)[0].HasClosed {
			t.Fatal("closed before its time for a sign of life was up")
		}
		pass(deadAfter + MaintenanceInterval)
		if (*lines)[0].HasClosed != well {
			t.Errorf("worker well: %v, silent connection closed: %v", well, (*lines)[0].HasClosed)
		}
		if (*lines)[0].h.Closed(nil); len(s.ended[a]) != 1 || s.ended[a][0] != policy.ConnectionReset {
			t.Errorf("ended %v", s.ended[a])
		}
	}
	p, _, lines := newPool() // a sign of life makes it good again
	p.StartAttempt(1, router.Attempt{Request: 1}, request("00000000000000a1"), time.Second)
	(*lines)[0].h.DialCompleted(nil)
	p.Maintain(quietAfter + MaintenanceInterval)
	(*lines)[0].h.Data([]byte("*2\r\n$2\r\nn1\r\n$4\r\nPONG\r\n"))
	if p.StartAttempt(1, router.Attempt{Request: 2}, request("00000000000000b2"), time.Second); len(*lines) != 1 || (*lines)[0].HasClosed {
		t.Error("a connection that answered was left")
	}
}

// Guards against an answer that stops short on an open connection: no more bytes, or a few now and then
// that never make it whole.
func TestAnswerThatStopsShortIsNotWaitedFor(t *testing.T) {
	p, s, lines := newPool()
	a := router.Attempt{Request: 1}
	p.StartAttempt(1, a, request("00000000000000a1"), time.Second)
	l := (*lines)[0]
	l.h.DialCompleted(nil)
	whole := reply("00000000000000a1", "HIT", strings.Repeat("x", 1000))
	for i := range int(stuckAfter/MaintenanceInterval) + 2 {
		p.Maintain(time.Hour + time.Duration(i)*MaintenanceInterval)
		if !l.HasClosed {
			l.h.Data(whole[i*3 : i*3+3])
		}
	}
	if !l.HasClosed {
		t.Fatal("the rest of an answer is still waited for")
	}
	l.h.Data(whole[3*(int(stuckAfter/MaintenanceInterval)+2):]) // too late: nothing that follows counts
	if len(s.ended[a]) != 0 {
		t.Errorf("ended %v by what came after the close", s.ended[a])
	}
	p.StartAttempt(1, router.Attempt{Request: 2}, request("00000000000000b2"), time.Second)
	if len(*lines) != 2 {
		t.Error("a call went to a connection that we closed")
	}
}

// Guards against copying the beginning of an answer anew for each of its bytes.
func TestBeginningOfAnAnswerIsNotCopiedOver(t *testing.T) {
	p, s, lines := newPool()
	a := router.Attempt{Request: 1}
	p.StartAttempt(1, a, request("00000000000000a1"), time.Second)
	(*lines)[0].h.DialCompleted(nil)
	whole := reply("00000000000000a1", "HIT", strings.Repeat("x", maxBulk-64))
	allocs := testing.AllocsPerRun(1, func() {
		for i := range whole {
			(*lines)[0].h.Data(whole[i : i+1])
		}
	})
	if len(s.ended[a]) != 1 || allocs > 60 {
		t.Errorf("ended %v after %v allocations for %d bytes", s.ended[a], allocs, len(whole))
	}
}

// Guards workers that are well against connections that break under a probe: it goes over another one, so
// that only a worker that refuses, or breaks them all, counts as having failed it.
func TestProbeOutlivesItsConnection(t *testing.T) {
	for name, c := range map[string]struct {
		resets int
		last   func(l *line)
		want   policy.Outcome
	}{
		"well":   {1, func(l *line) { l.h.DialCompleted(nil); l.h.Data([]byte("*2\r\n$2\r\np7\r\n$4\r\nPONG\r\n")) }, policy.Served},
		"died":   {1, func(l *line) { l.h.DialCompleted(errors.New("refused")) }, policy.Unreachable},
		"breaks": {probeTries, func(l *line) { l.h.DialCompleted(nil); l.h.Closed(errors.New("reset")) }, policy.ConnectionReset},
	} {
		p, s, lines := newPool()
		p.CheckHealth(1, 7)
		for i := range c.resets {
			(*lines)[i].h.DialCompleted(nil)
			if (*lines)[i].h.Closed(errors.New("reset")); len(s.asked[7]) != 0 || len(*lines) != i+2 {
				t.Fatalf("%s: ended %v on %d connections", name, s.asked[7], len(*lines))
			}
		}
		c.last((*lines)[c.resets])
		if len(s.asked[7]) != 1 || s.asked[7][0] != c.want || len(*lines) != c.resets+1 {
			t.Errorf("%s: ended %v on %d connections", name, s.asked[7], len(*lines))
		}
	}
}

// Guards the descriptors: connections to all workers together are bounded, and an idle one makes room.
func TestConnectionsAreBoundedTogether(t *testing.T) {
	p, s, lines := newPool()
	p.cfg.MaxConnections = 3
	for w := range policy.WorkerID(5) {
		p.SetWorker(w+1, at(fmt.Sprintf("127.0.0.1:%d", w+1)), policy.Ready)
		p.StartAttempt(w+1, router.Attempt{Request: policy.RequestID(w)}, request(fmt.Sprintf("%016x", w)), time.Second)
	}
	if len(*lines) != 3 || s.ended[router.Attempt{Request: 4}][0] != policy.Unreachable {
		t.Fatalf("%d connections, ended %v", len(*lines), s.ended)
	}
	(*lines)[0].h.DialCompleted(nil)
	(*lines)[0].h.Data(reply(fmt.Sprintf("%016x", 0), "HIT", ""))
	p.StartAttempt(5, router.Attempt{Request: 9}, request("00000000000000ff"), time.Second)
	if len(*lines) != 4 || !(*lines)[0].HasClosed {
		t.Errorf("%d connections, idle one closed: %v", len(*lines), (*lines)[0].HasClosed)
	}
}

// Guards the long day: generations of workers come and go, some at an address that was another's, and
// nothing about those that are gone stays.
func TestNothingStaysOfGoneWorkers(t *testing.T) {
	p, _, lines := newPool()
	now := time.Duration(0)
	for g := range 200 {
		w := policy.WorkerID(g + 2)
		p.RetainWorkers(map[policy.WorkerID]bool{w: true})
		p.SetWorker(w, at("127.0.0.1:1"), policy.Ready)
		a := router.Attempt{Request: policy.RequestID(g)}
		p.StartAttempt(w, a, request(fmt.Sprintf("%016x", g)), time.Second)
		p.Load(w, 7, 1, uint64(g))
		l := (*lines)[len(*lines)-1]
		if l.h.DialCompleted(nil); g%2 == 0 {
			l.h.Data(reply(fmt.Sprintf("%016x", g), "HIT", ""))
		} else {
			p.CancelAttempt(w, a)
		}
		p.AbandonCommand(w, uint64(g))
		p.RetainWorkers(nil)
		for range 3 {
			now += MaintenanceInterval
			p.Maintain(now)
			for _, l := range *lines {
				if l.HasClosed && l.h != nil {
					l.h.Closed(nil)
					l.h = nil
				}
			}
		}
	}
	if len(p.workers)+len(p.calls) != 0 {
		t.Errorf("%d workers and %d calls stay", len(p.workers), len(p.calls))
	}
}

// Guards a busy worker: a connection that has as many ids to remember as it may gives its place to a fresh one, so
// that thousands of calls a second go on over a bounded number of connections.
func TestFullConnectionsGiveTheirPlace(t *testing.T) {
	p, s, lines := newPool()
	p.cfg.MaxCallsPerConnection = 32
	now, n := time.Hour, 0
	for range 600 { // 30 s at 2,000 calls/s
		for range 100 {
			n++
			id := fmt.Sprintf("%016x", n)
			a := router.Attempt{Request: policy.RequestID(n)}
			p.StartAttempt(1, a, request(id), time.Second)
			for _, l := range *lines {
				if l.h != nil && l.Wrote.Len() == 0 && !l.HasClosed {
					l.h.DialCompleted(nil)
				}
			}
			for _, l := range *lines {
				if l.h != nil && !l.HasClosed && strings.Contains(l.Wrote.String(), id) {
					l.h.Data(reply(id, "HIT", ""))
					l.Wrote.Reset()
					l.Wrote.WriteString("-")
				}
			}
			if len(s.ended[a]) != 1 || s.ended[a][0] != policy.Served {
				t.Fatalf("call %d at %v ended %v on %d connections", n, now-time.Hour, s.ended[a], len(p.workers[1].conns))
			}
		}
		now += MaintenanceInterval
		p.Maintain(now)
		for _, l := range *lines {
			if l.HasClosed && l.h != nil {
				l.h.Closed(nil)
				l.h = nil
			}
		}
	}
}
