package benchmark

import (
	"sort"
	"sync"
	"time"

	"crankhold/internal/fake"
)

// sent is a call as its client and the workers saw it.
type sent struct {
	class   string
	at      time.Time
	wait    time.Duration
	verdict string        // "" until it is answered
	took    time.Duration // until the answer
	late    bool          // answered after its time, or never
	runs    int           // at workers
	at1     *fake.Worker  // the last one
}

// record is what happened in an experiment.
type record struct {
	mu     sync.Mutex
	calls  map[string]*sent
	order  []*sent
	events []fake.Event
	watch  func(e fake.Event, r *record) // called under the lock
}

func newRecord() *record { return &record{calls: map[string]*sent{}} }

// event takes in what a worker saw.
func (r *record) event(e fake.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
	if s := r.calls[e.ID]; s != nil && e.What == "run" {
		s.runs++
		s.at1 = e.Worker
	}
	if r.watch != nil {
		r.watch(e, r)
	}
}

// call sends one and notes its answer.
func (r *record) call(c *fake.Client, call fake.Call) *sent {
	s := &sent{class: call.Class, at: time.Now(), wait: call.Wait}
	r.mu.Lock()
	r.calls[call.ID] = s
	r.order = append(r.order, s)
	r.mu.Unlock()
	c.Go(call, func(a fake.Answer, err error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		s.took = time.Since(s.at)
		s.verdict = a.Verdict
		if err != nil {
			s.verdict = "lost"
		}
		s.late = s.took > call.Wait+answerSlack
	})
	return s
}

// answerSlack is how late an answer may come on a loaded machine and still count, as on the platform.
const answerSlack = 66 * time.Millisecond

// totals counts calls of a class by verdict, "" for all classes.
func (r *record) totals(class string, from, to time.Time) (by map[string]int, n int) {
	by = map[string]int{}
	for _, s := range r.order {
		if (class == "" || s.class == class) && !s.at.Before(from) && s.at.Before(to) {
			v := s.verdict
			if v == "" {
				v = "lost"
			}
			by[v]++
			n++
		}
	}
	return by, n
}

// rules counts what no router may do.
func (r *record) rules(once string) (lost, late, doubled, orders, breaches int) {
	var came []time.Time
	for _, s := range r.order {
		came = append(came, s.at)
		if s.verdict == "" || s.verdict == "lost" {
			lost++
		} else if s.late {
			late++
		}
		if s.class == once {
			orders++
			if s.runs > 1 {
				doubled++
			}
		}
	}
	var holds []time.Time
	for _, e := range r.events {
		if e.What == "hold" {
			holds = append(holds, e.At)
		}
	}
	since := func(list []time.Time, at time.Time) int {
		i := sort.Search(len(list), func(i int) bool { return !list[i].Before(at.Add(-10 * time.Second)) })
		j := sort.Search(len(list), func(i int) bool { return list[i].After(at) })
		return j - i
	}
	for _, at := range holds {
		// As the platform counts it: 15 in 100 and one order more, for what is under way on sockets.
		if float64(since(holds, at)) > (4+0.3*float64(since(came, at)))*1.15+1 {
			breaches++
		}
	}
	return lost, late, doubled, orders, breaches
}

// percentile of the times until served answers.
func (r *record) percentile(class string, p float64) time.Duration {
	var took []time.Duration
	for _, s := range r.order {
		if s.verdict == "served" && (class == "" || s.class == class) {
			took = append(took, s.took)
		}
	}
	if len(took) == 0 {
		return 0
	}
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	return took[min(int(p*float64(len(took))), len(took)-1)]
}
