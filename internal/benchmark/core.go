package benchmark

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"time"

	"crankhold/internal/router"
	"crankhold/policy"
)

// Core measures what a call costs the core and the module by the size of the fleet, in virtual time: no sockets, one
// goroutine, the code that serves.
type Core struct {
	Short bool  `help:"Fewer calls."`
	Sizes []int `help:"Workers." default:"12,100,1000,5000"`
	Calls int   `help:"Calls measured at each size, after as many to warm up." default:"40000"`
}

// later is something that the stand-in workers have yet to answer.
type later struct {
	at  time.Duration
	seq int
	do  func()
}

type laters []later

func (l laters) Len() int { return len(l) }
func (l laters) Less(i, j int) bool {
	return l[i].at < l[j].at || l[i].at == l[j].at && l[i].seq < l[j].seq
}
func (l laters) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *laters) Push(x any)   { *l = append(*l, x.(later)) }
func (l *laters) Pop() any     { old := *l; x := old[len(old)-1]; *l = old[:len(old)-1]; return x }

// bench stands in for workers and clients.
type bench struct {
	core  *router.Core
	now   time.Duration
	todo  laters
	seq   int
	until map[[2]uint64]time.Duration // copies that stand
	ended int
}

func (b *bench) after(d time.Duration, do func()) {
	b.seq++
	heap.Push(&b.todo, later{b.now + d, b.seq, do})
}

func (b *bench) StartAttempt(w policy.WorkerID, a router.Attempt, r *router.Request, _ time.Duration) {
	k := [2]uint64{uint64(w), uint64(r.Function)}
	if b.until[k] < b.now {
		b.after(time.Millisecond, func() { b.core.AttemptCompleted(a, router.AttemptResult{Outcome: policy.NotLoaded}) })
		return
	}
	b.until[k] = b.now + 10*time.Second
	b.after(80*time.Millisecond, func() {
		b.core.AttemptCompleted(a, router.AttemptResult{Outcome: policy.Served, LoadStatus: policy.AlreadyLoaded, LoadReport: []float64{1}})
	})
}
func (b *bench) CancelAttempt(policy.WorkerID, router.Attempt)       {}
func (b *bench) WithdrawUnsent(policy.WorkerID, router.Attempt) bool { return false }
func (b *bench) Load(w policy.WorkerID, f policy.FunctionID, _ int, tag uint64) {
	b.after(300*time.Millisecond, func() {
		b.until[[2]uint64{uint64(w), uint64(f)}] = b.now + 10*time.Second
		b.core.LoadCompleted(tag, policy.Served, 1)
	})
}
func (b *bench) AbandonCommand(policy.WorkerID, uint64)    {}
func (b *bench) Unload(policy.WorkerID, policy.FunctionID) {}
func (b *bench) CheckHealth(_ policy.WorkerID, tag uint64) {
	b.after(time.Millisecond, func() { b.core.HealthCheckCompleted(tag, policy.Served, []float64{1}) })
}
func (b *bench) CloseIdle(policy.WorkerID) {}

// Respond counts.
func (b *bench) Respond(router.Response) { b.ended++ }

// Run prints a row a size.
func (c Core) Run(out io.Writer) error {
	if c.Short {
		c.Calls /= 4
	}
	f := &figures{}
	fmt.Fprintf(out, "%8s %10s %10s %10s %12s\n", "workers", "calls/s", "us/call", "allocs", "bytes/call")
	for _, n := range c.Sizes {
		us, allocs, bytes, rate, err := coreCost(n, c.Calls)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%8d %10d %10.2f %10.1f %12.0f\n", n, rate, us, allocs, bytes)
		f.add(fmt.Sprintf("us_%d", n), us)
		f.add(fmt.Sprintf("allocs_%d", n), allocs)
	}
	return f.print(out)
}

func coreCost(workers, calls int) (us, allocs, bytes float64, rate int, err error) {
	module, err := policy.New(policy.Config{Routers: 1, Tick: 4 * time.Millisecond, MaxAttempts: 3, CancelSupported: true, HealthCheckSupported: true, LoadOrdersSupported: true,
		MissWhenNotLoaded: true, LoadStatusReported: true, HedgingAllowed: true, RetryAfterSupported: true, MaxRetryAfter: time.Second, OverQuotaWeight: 1,
		KeepAlive: 10 * time.Second, LoadTimeout: 10 * time.Second, LoadBudgetWindow: 10 * time.Second, LoadBudgetMinimum: 4, LoadBudgetRatio: 0.3,
		DrainGracePeriod: time.Second, LoadReportFields: []string{"inflight"}, InlineLoadReports: true,
		Classes: []policy.Class{{LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 3}}}, 1)
	if err != nil {
		return 0, 0, 0, 0, err
	}
	core := router.New(module, router.Limits{MaxConcurrentRequests: 1 << 20, MaxBytes: 1 << 30, MaxAttempts: 3, LoadTimeout: 10 * time.Second, HealthCheckTimeout: 250 * time.Millisecond})
	b := &bench{core: core, now: time.Hour, until: map[[2]uint64]time.Duration{}}
	core.SetWorkerClient(b)
	list := policy.EndpointList{Kind: policy.EndpointSnapshot}
	for w := range workers {
		list.Workers = append(list.Workers, policy.Endpoint{Worker: policy.WorkerID(w + 1), State: policy.Ready, Weight: 1})
	}
	core.SetEndpoints(list)
	random := rand.New(rand.NewPCG(1, 2))
	rate = 15 * workers
	gap := time.Second / time.Duration(rate)
	next := core.Process(b.now)
	play := func(n int) {
		for i := range n {
			at := b.now + gap
			for due := min(next, b.due()); due <= at; due = min(next, b.due()) {
				b.now = max(b.now, due)
				core.SetNow(b.now)
				for b.due() <= b.now {
					heap.Pop(&b.todo).(later).do()
				}
				next = core.Process(b.now)
			}
			b.now = at
			f := 1 + int(float64(3*workers)*random.Float64()*random.Float64())
			core.Accept(b.now, router.Request{Asker: b, ID: fmt.Sprint(i, b.now), Function: policy.FunctionID(f), Lanes: 2, LoadTime: 300 * time.Millisecond,
				Deadline: b.now + 2*time.Second})
			next = core.Process(b.now)
		}
	}
	play(max(calls, 15*workers)) // a second of load at least, so that copies stand
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	begun := time.Now()
	play(calls)
	took := time.Since(begun)
	runtime.ReadMemStats(&after)
	n := float64(calls)
	return float64(took.Nanoseconds()) / 1000 / n, float64(after.Mallocs-before.Mallocs) / n, float64(after.TotalAlloc-before.TotalAlloc) / n, rate, nil
}

// due is when the next answer comes.
func (b *bench) due() time.Duration {
	if len(b.todo) == 0 {
		return 1 << 62
	}
	return b.todo[0].at
}
