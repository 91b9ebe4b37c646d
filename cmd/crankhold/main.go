// Command crankhold is the function router: the decision module of package policy on real sockets.
package main

import (
	"fmt"
	"log"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"crankhold/internal/directory"
	"crankhold/internal/loop"
	"crankhold/internal/resp"
	"crankhold/internal/router"
	"crankhold/internal/thrift"
	"crankhold/policy"
)

const (
	// lingerFor is how long after SIGTERM new requests are still to be expected: connections come
	// for 0.4 s, requests on open ones for 0.2 s more; what came within 0.7 s must be answered.
	lingerFor = 750 * time.Millisecond

	// flushFor is how long slow clients may take their answers in, and notices be delivered. The
	// platform kills 3.7 s after SIGTERM at the earliest.
	flushFor     = 3500 * time.Millisecond
	probeTimeout = 250 * time.Millisecond
	procs        = 4 // so that a poller asleep in the kernel does not hold up the loop
)

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	c, err := readConfig(os.Getenv)
	if err == nil {
		err = serve(c, func() (*config, error) { return readConfig(os.Getenv) })
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "crankhold: %v\n", err)
		os.Exit(1)
	}
}

// serve runs the function router until a signal ends it. On SIGHUP it takes over what reread returns.
func serve(c *config, reread func() (*config, error)) error {
	// Two channels, so that SIGHUPs in a row can't crowd out a SIGTERM. One that comes while a file is
	// being read has it read once more; further ones add nothing.
	signals, hangups := make(chan os.Signal, 4), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(signals)
	defer signal.Stop(hangups)
	runtime.GOMAXPROCS(procs)
	debug.SetMemoryLimit(int64(c.Limits.MemoryMB) << 20 * 6 / 10)
	module, err := policy.New(c.module, c.seed)
	if err != nil {
		return err
	}
	var classes []string
	for _, k := range c.network.Classes {
		classes = append(classes, k.Name)
	}
	lp := loop.New(loop.Config{MaxAccepted: c.clientConns(), MaxFiles: c.Limits.Sockets,
		MaxQueued: c.share(8 << 20), MaxUnread: c.share(32 << 20)})
	core := router.New(module, router.Limits{MaxOpen: c.maxOpen(), MaxBytes: c.share(24 << 20), RetryAfter: c.turnedAway(),
		MaxAttempts: c.module.MaxAttempts, OrderTimeout: c.module.OrderTimeout, ProbeTimeout: probeTimeout})
	pool := resp.New(resp.Config{Classes: classes, ReportFields: c.module.ReportFields,
		DialTimeout: millis(c.network.Limits.DialTimeoutMs), KeepAlive: millis(c.network.Limits.KeepaliveMs),
		PerConn: c.network.Limits.StreamsPerConn, MaxConns: c.workerConns(),
		Dial: func(addr string, timeout time.Duration, h loop.Dialled) resp.Line {
			return lp.Dial("tcp", addr, timeout, h)
		}}, core)
	core.Use(pool)
	names := directory.New(c.Names,
		func(addr string, h loop.Dialled) directory.Line { return lp.Dial("udp", addr, time.Second, h) },
		func(list []directory.Worker) { follow(lp, core, pool, c.network.FailureDomains, list) })
	if err := names.Start(c.Known); err != nil {
		return err
	}
	hooks, err := newHooks(c, lp, core)
	if err != nil {
		return err
	}
	stopping := time.Duration(0)
	// Good once there is a worker to send to, and no longer once we stop.
	front := thrift.New(core, classes, lp.Now, func() bool { return names.Size() > 0 && stopping == 0 })
	lp.Listen(c.Listen, front.Accept)
	if err := lp.Start(); err != nil {
		return err
	}
	log.Printf("event=started name=%s listen=%s", c.Name, c.Listen)

	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for {
			select {
			case <-hangups: // the file is read and checked here, so that calls go on meanwhile
				fresh, err := reread()
				lp.Post(func() { reload(lp, names, c, fresh, err) })
			case <-ended:
				return
			}
		}
	}()
	go func() {
		for {
			var s os.Signal
			select {
			case s = <-signals:
			case <-ended:
				return
			}
			lp.Post(func() {
				printCounters(&core.Count, names, hooks)
				if s != syscall.SIGUSR1 && stopping == 0 {
					stopping = lp.Now()
					log.Printf("event=stopping signal=%q", s)
				}
			})
		}
	}()
	swept, looked := time.Duration(0), time.Duration(0)
	lp.Run(func(now time.Duration) {
		core.SetNow(now)
		pool.SetNow(now)
	}, func(now time.Duration) time.Duration {
		next := min(core.Turn(now), names.Turn(now), hooks.turn(now))
		if now-looked >= resp.SweepEvery {
			looked = now
			pool.Sweep(now)
		}
		if now-swept >= time.Second {
			swept = now
			hooks.sweep(now)
		}
		if stopping > 0 {
			since := now - stopping
			core.Draining = since >= lingerFor
			done := core.Open() == 0 && (lp.Unwritten() == 0 && hooks.open() == 0 || since >= flushFor)
			if since >= lingerFor && done {
				lp.Stop()
			}
			next = min(next, now+10*time.Millisecond)
		}
		return next
	})
	hooks.close()
	printCounters(&core.Count, names, hooks)
	log.Printf("event=stopped")
	return nil
}

// reload takes over what can change while the program runs: the directory's address. A file that can't
// be used changes nothing.
func reload(lp *loop.Loop, names *directory.Client, c, fresh *config, err error) {
	if err != nil {
		log.Printf("event=reload_failed err=%q", err)
		return
	}
	log.Printf("event=reloaded names=%s", fresh.Names)
	names.Move(lp.Now(), fresh.Names)
	if changed := c.needsRestart(fresh); len(changed) > 0 {
		log.Printf("event=restart_needed settings=%q", changed)
	}
}

// follow hands a list of workers to those who need it.
func follow(lp *loop.Loop, core *router.Core, pool *resp.Pool, zones []string, list []directory.Worker) {
	l := policy.WorkerList{Kind: policy.ListWhole}
	present := map[policy.WorkerID]bool{}
	for _, w := range list {
		e := policy.WorkerEntry{Worker: w.ID(), State: w.State, Weight: w.Weight, Cell: w.Cell,
			Zone: max(slices.Index(zones, w.Zone), 0)}
		if w.Started > 0 {
			e.Started = max(lp.FromUnix(time.UnixMilli(w.Started)), 1)
		}
		present[e.Worker] = true
		pool.Set(e.Worker, w.Addr, w.State)
		l.Workers = append(l.Workers, e)
		log.Printf("event=worker name=%s addr=%s state=%d weight=%g started=%d", w.Name, w.Addr, w.State, w.Weight, w.Started)
	}
	pool.Retain(present)
	core.SetList(l)
}

// printCounters logs what was taken, sent and answered.
func printCounters(n *router.Counters, d *directory.Client, h *hooks) {
	for f, name := range []string{"thrift", "webhook"} {
		log.Printf("event=counters front=%s taken=%d served=%d refused=%d failed=%d left=%d turned_away=%d",
			name, n.Taken[f], n.Served[f], n.Refused[f], n.Failed[f], n.Left[f], n.Turned[f])
	}
	log.Printf("event=counters sent=%d%s overdue=%d", n.Sent, byOutcome(n.Ended), n.Overdue)
	log.Printf("event=counters orders=%d%s unloads=%d", n.Orders, byOutcome(n.OrderEnded), n.Unloads)
	log.Printf("event=counters probes=%d%s", n.Probes, byOutcome(n.ProbeEnded))
	h.print()
	log.Printf("event=counters directory_asked=%d directory_heard=%d", d.Asked, d.Heard)
}

// byOutcome lists the outcomes that occurred.
func byOutcome(counts [policy.Missed + 1]uint64) string {
	text := ""
	for o, name := range []string{"served", "errored", "full", "timed_out", "unreachable", "reset", "cancelled", "moot", "missed"} {
		if counts[o] > 0 {
			text += fmt.Sprintf(" %s=%d", name, counts[o])
		}
	}
	return text
}
