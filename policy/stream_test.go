package policy

import (
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"crankhold/internal/timerheap"
)

// scenario is a simulation of a Policy and a fleet of workers in virtual time. The actions of the policy
// determine the next events.
type scenario struct {
	workers, functions int
	interval           time.Duration // between requests
	duration           time.Duration
	faults             bool
	cfg                Config
}

// run returns a checksum over all events and actions, the numbers of requests and attempts, and the Policy.
func (s scenario) run(t testing.TB, seed uint64) (checksum uint64, requests, attempts int, p *Policy) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 3))
	p, err := New(s.cfg, seed)
	if err != nil {
		panic(err)
	}
	hash := fnv.New64a()
	now := time.Hour
	var upcoming timerheap.Heap[Event] // nil: a request arrives
	for at := time.Duration(0); at < s.duration; at += s.interval {
		upcoming.Add(now+at, nil)
	}
	addEvent := func(after time.Duration, ev Event) { upcoming.Add(now+after, ev) }
	type replicaKey struct {
		w WorkerID
		f FunctionID
	}
	loaded, loading := map[replicaKey]time.Duration{}, map[replicaKey]time.Duration{}
	busy := map[WorkerID]int{}
	function, attemptCounts := map[RequestID]FunctionID{}, map[RequestID]int{}
	completed := map[string]bool{}
	list := EndpointList{Kind: EndpointSnapshot}
	for w := range s.workers {
		list.Workers = append(list.Workers, Endpoint{Worker: WorkerID(w*7919 + 1), State: Ready, Weight: 1, Zone: KnownGroup(0), Cell: KnownGroup(0)})
	}
	addEvent(0, list)
	var arrive func()
	next := RequestID(0)
	arrive = func() {
		next++
		f := FunctionID(1 + int(float64(s.functions)*rng.Float64()*rng.Float64()))
		class := rng.IntN(len(s.cfg.Classes))
		function[next] = f
		addEvent(0, RequestArrived{Request: next, Class: class, Function: f, Lanes: 1 + float64(f%2), LoadTime: 500 * ms, Remaining: s.cfg.Classes[class].Deadline})
	}
	completeAfter := func(w WorkerID, r RequestID, n int, o Outcome, status LoadStatus, took time.Duration) {
		key := fmt.Sprint(r, n)
		if completed[key] {
			return
		}
		addEvent(took, AttemptCompleted{Request: r, Attempt: n, Worker: w, Outcome: o, LoadStatus: status, RequestClosed: o == Served, Took: took, Report: []float64{float64(busy[w])}})
	}
	for {
		next, ok := upcoming.PopDue(math.MaxInt64)
		if !ok {
			break
		}
		now = next.Due()
		if next.Value == nil {
			arrive()
			if s.faults && rng.IntN(200) == 0 { // a worker drains, or restarts
				i := rng.IntN(len(list.Workers))
				e := &list.Workers[i]
				if e.State == Ready {
					e.State = Draining
				} else {
					e.State, e.Started = Ready, now
				}
				addEvent(0, EndpointList{Kind: EndpointDelta, Workers: []Endpoint{*e}})
			}
			continue
		}
		if now > time.Hour+s.duration+10*time.Second {
			break
		}
		switch e := next.Value.(type) {
		case AttemptCompleted:
			key := fmt.Sprint(e.Request, e.Attempt)
			if completed[key] {
				continue
			}
			completed[key] = true
			busy[e.Worker]--
		case RequestArrived:
			requests++
		case LoadCompleted:
			loaded[replicaKey{e.Worker, e.Function}] = now
		}
		fmt.Fprintf(hash, "%d", now)
		for _, a := range p.Handle(now, next.Value, nil) {
			if _, ok := a.(ClearTimer); ok {
				continue // added after the checksums were recorded, and it changes no decision
			}
			writeAction(t, hash, a)
			switch a := a.(type) {
			case StartAttempt:
				attempts++
				n := attemptCounts[a.Request]
				attemptCounts[a.Request]++
				at := replicaKey{a.Worker, function[a.Request]}
				busy[a.Worker]++
				took := time.Duration(60+rng.IntN(40)+10*busy[a.Worker]) * ms
				switch since, ok := loaded[at]; {
				case s.faults && rng.IntN(40) == 0:
					completeAfter(a.Worker, a.Request, n, []Outcome{Failed, Overloaded, ConnectionReset, TimedOut, Unreachable}[rng.IntN(5)], LoadStatusUnknown, took)
				case ok && now-since < 10*time.Second:
					loaded[at] = now
					completeAfter(a.Worker, a.Request, n, Served, AlreadyLoaded, took)
				case loading[at] > now:
					completeAfter(a.Worker, a.Request, n, Served, WaitedForLoad, loading[at]-now+took)
				case s.cfg.MissWhenNotLoaded:
					completeAfter(a.Worker, a.Request, n, NotLoaded, LoadStatusUnknown, ms)
				default:
					loaded[at] = now + 500*ms
					completeAfter(a.Worker, a.Request, n, Served, StartedLoad, 500*ms+took)
				}
			case CancelAttempt:
				if key := fmt.Sprint(a.Request, a.Attempt); !completed[key] {
					addEvent(0, AttemptCompleted{Request: a.Request, Attempt: a.Attempt, Worker: 0, Outcome: Canceled})
				}
			case Load:
				loading[replicaKey{a.Worker, a.Function}] = now + 500*ms
				addEvent(500*ms, LoadCompleted{Worker: a.Worker, Function: a.Function, Outcome: Served, Took: 500 * ms, Count: 1})
			case CheckHealth:
				addEvent(ms, HealthCheckCompleted{Worker: a.Worker, Outcome: Served, Took: ms, Report: []float64{float64(busy[a.Worker])}})
			case SetTimer:
				addEvent(a.After, TimerFired{Token: a.Token})
			}
		}
	}
	return hash.Sum64(), requests, attempts, p
}

// writeAction writes an action in the form in which the checksums were recorded. The names in it stay as they
// were then, whatever the types and fields are called now.
func writeAction(t testing.TB, w io.Writer, a Action) {
	t.Helper()
	switch a := a.(type) {
	case StartAttempt:
		fmt.Fprintf(w, "policy.Send{Request:%d Worker:%d Limit:%v}", a.Request, a.Worker, a.Timeout)
	case CancelAttempt:
		fmt.Fprintf(w, "policy.Cancel{Request:%d Attempt:%d}", a.Request, a.Attempt)
	case Reject:
		fmt.Fprintf(w, "policy.Refuse{Request:%d RetryAfter:%v}", a.Request, a.RetryAfter)
	case FailRequest:
		fmt.Fprintf(w, "policy.Fail{Request:%d}", a.Request)
	case Load:
		fmt.Fprintf(w, "policy.OrderLoad{Worker:%d Function:%d Count:%d}", a.Worker, a.Function, a.Count)
	case Unload:
		fmt.Fprintf(w, "policy.Unload{Worker:%d Function:%d}", a.Worker, a.Function)
	case CheckHealth:
		fmt.Fprintf(w, "policy.Probe{Worker:%d}", a.Worker)
	case SetTimer:
		fmt.Fprintf(w, "policy.SetTimer{After:%v Token:%d}", a.After, a.Token)
	case Subscribe:
		fmt.Fprintf(w, "policy.Subscribe{On:%v}", a.On)
	default:
		t.Fatalf("%T has no recorded form", a)
	}
}

// scenarios returns the scenarios for which checksums were recorded.
func scenarios() map[string]scenario {
	settings := func(miss bool) Config {
		c := config()
		c.Classes[0].Idempotency = Idempotent
		c.Routers, c.LoadCommandsSupported, c.MissWhenNotLoaded, c.MaxAttempts = 2, miss, miss, 3
		c.LoadBudgetWindow, c.LoadBudgetMinimum, c.LoadBudgetRatio, c.LoadReportFields, c.InlineLoadReports = 10*time.Second, 4, 0.3, []string{"inflight"}, true
		c.RetryAfterSupported, c.MaxRetryAfter = true, time.Second
		return c
	}
	queueReports := settings(false)
	queueReports.LoadReportFields = []string{"queue"}
	return map[string]scenario{
		"12 workers":                   {12, 30, 5 * ms, 20 * time.Second, false, settings(true)},
		"12 workers with faults":       {12, 30, 5 * ms, 20 * time.Second, true, settings(true)},
		"14 workers, loads by request": {14, 40, 4 * ms, 15 * time.Second, true, queueReports},
		"100 workers with faults":      {100, 300, 2 * ms, 8 * time.Second, true, settings(true)},
		"8 workers, overloaded":        {8, 20, ms, 6 * time.Second, true, settings(true)},
	}
}

// recordedChecksums holds the checksums of the scenarios as of the last change of the decisions. A change
// that only reduces the cost of a request must not change them.
var recordedChecksums = map[string]uint64{
	"12 workers":                   1151388725873832079,
	"12 workers with faults":       12142483808271537724,
	"14 workers, loads by request": 7560215809940301482,
	"100 workers with faults":      5867855119104726015,
	"8 workers, overloaded":        6334752264456574924,
}

// Guards against unintended changes of decisions: the same events must give the same actions as before,
// including the choice among ties and the use of random numbers.
func TestDecisionsMatchRecordedChecksums(t *testing.T) {
	for name, s := range scenarios() {
		checksum, requests, attempts, _ := s.run(t, 1)
		if checksum != recordedChecksums[name] || requests < 1000 || attempts < 1000 {
			t.Errorf("%s: checksum %d, recorded %d; %d requests, %d attempts", name, checksum, recordedChecksums[name], requests, attempts)
		}
	}
}

// BenchmarkRequest measures the cost of a request in the module, from its arrival to its response, by the
// size of the fleet.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{12, 100, 1000, 5000} {
		s := scenarios()["12 workers"]
		s.workers, s.functions, s.interval = n, 3*n, time.Duration(float64(60*ms)/float64(n))
		s.duration = 2000 * s.interval
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			requests := 0
			for requests < b.N {
				_, c, _, _ := s.run(b, 1)
				requests += c
			}
		})
	}
}
