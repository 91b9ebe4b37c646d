// Package server puts the function router together and runs it: the core between its fronts, the workers'
// connections, the directory, and what reacts to signals. It imports the parts and decides nothing; the command
// line calls it.
package server

import (
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"crankhold/internal/config"
	"crankhold/internal/discovery"
	"crankhold/internal/eventloop"
	"crankhold/internal/route"
	"crankhold/internal/router"
	"crankhold/internal/signals"
	"crankhold/internal/thrift"
	"crankhold/internal/workerclient"
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
	rereadTries  = 4 // times that idle clients make room for a file that is to be read again

	// listWithin is how long a router that starts with an empty list waits for the directory to tell it of a worker or
	// that there is none. Then it takes calls all the same, and has them wait for a worker: the directory may be
	// down for longer than a start may take.
	listWithin = 2 * time.Second
)

// Options says what a service reads beside the platform's configuration; "" for no file.
type Options struct {
	Webhook string
	Export  string
	Routes  string
	// Addresses names the file that says how workers' addresses are found.
	Addresses string
	// RoutesOptional has a routes file that isn't there count as none, at a start and at a reload.
	RoutesOptional bool
	Stop           <-chan struct{} // has it stop as SIGTERM does; may be nil
	// Signals are those that were caught since the program began; nil: Serve catches them.
	Signals *signals.Signals
}

// Serve runs the function router until a signal ends it. On SIGHUP it takes over what reread returns, and reads
// the routes again.
func Serve(c *config.Config, opts Options, reread func() (*config.Config, error)) error {
	if opts.Signals == nil {
		opts.Signals = signals.Notify()
		defer opts.Signals.Close()
	}
	runtime.GOMAXPROCS(procs)
	debug.SetMemoryLimit(int64(c.Limits.MemoryMB) << 20 * 6 / 10)
	module, err := policy.New(c.Policy, c.SeedValue)
	if err != nil {
		return err
	}
	wanted := time.Duration(0)
	calls := thrift.Config{Tenants: c.TenantNames()}
	for i, k := range c.Policy.Classes {
		wanted = max(wanted, k.LatencyObjective)
		calls.Classes = append(calls.Classes, thrift.Class{Name: c.Network.Classes[i].Name, RequiresIdempotencyKey: k.Idempotency == policy.IdempotentWithKey})
	}
	lp := eventloop.New(eventloop.Config{MaxAccepted: c.MaxClientConnections(), MaxDescriptors: c.Limits.Sockets,
		MaxQueuedBytes: c.ScaleToMemory(8 << 20), MaxUnreadBytes: c.ScaleToMemory(32 << 20)})
	core := router.New(module, router.Limits{MaxConcurrentRequests: c.MaxConcurrentRequests(), MaxBytes: c.ScaleToMemory(24 << 20), RetryAfter: c.RejectionRetryAfter(),
		MaxAttempts: c.Policy.MaxAttempts, LoadTimeout: c.Policy.LoadTimeout, HealthCheckTimeout: probeTimeout,
		Tenants: c.TenantNames()})
	pool := workerclient.New(workerclient.Config{Classes: c.ClassNames(), ReportFields: c.Policy.LoadReportFields,
		DialTimeout: config.Millis(c.Network.Limits.DialTimeoutMs), KeepAlive: config.Millis(c.Network.Limits.KeepaliveMs),
		SlowestObjective: wanted, MaxCallsPerConnection: c.Network.Limits.StreamsPerConn, MaxConnections: c.MaxWorkerConnections(), CancelSupported: c.Policy.CancelSupported,
		Seed: c.SeedValue, Dial: func(network, addr string, timeout time.Duration, h eventloop.DialHandler) workerclient.Transport {
			return lp.Dial(network, addr, timeout, h)
		}}, core)
	core.SetWorkerClient(pool)
	staff := newStaff(lp, core, pool, c)
	names := discovery.New(c.DiscoveryAddr, c.SeedValue, c.Policy.DrainGracePeriod,
		func(addr string, h eventloop.DialHandler) discovery.Transport {
			return lp.Dial("udp", addr, time.Second, h)
		},
		staff.follow)
	addresses, err := readAddresses(opts.Addresses)
	if err != nil {
		return err
	}
	names.UnixInTXT = addresses.UnixInTXT
	if err := names.LoadSnapshot(c.Known); err != nil {
		return err
	}
	routes, err := readRoutes(opts, c)
	if err != nil {
		return err
	}
	if routes != nil {
		putInForce(core, routes)
		staff.again()
	}
	hooks, err := newHooks(opts, c, lp, core)
	if err != nil {
		return err
	}
	stopping := time.Duration(0)
	// Good once there is a worker to send to or no word of one is to be waited for, and no longer once we stop.
	begun := lp.Now()
	front := thrift.New(core, calls, lp.Now, func() bool {
		return stopping == 0 && (names.WorkerCount() > 0 || names.ResponsesRead > 0 || lp.Now()-begun >= listWithin)
	})
	lp.Listen(c.Listen, front.Accept)
	if err := lp.Start(); err != nil {
		return err
	}
	slog.Info("server_started", "name", c.Name, "listen", c.Listen)

	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for {
			select {
			case <-opts.Signals.Reload: // the file is read and checked here, so that calls go on meanwhile
				fresh, err := reread()
				for n := 0; n < rereadTries && eventloop.IsDescriptorExhausted(err) && lp.CloseIdleClients(); n++ {
					fresh, err = reread()
				}
				var routes *route.Table
				var wrong error
				if err == nil {
					routes, wrong = readRoutes(opts, c)
				}
				lp.Post(func() { reload(staff, names, fresh, err, routes, wrong) })
			case <-ended:
				return
			}
		}
	}()
	go func() {
		for {
			var s os.Signal
			select {
			case s = <-opts.Signals.Stop:
			case <-opts.Stop:
				s, opts.Stop = syscall.SIGTERM, nil
			case <-ended:
				return
			}
			lp.Post(func() {
				printCounters(core, pool, names, hooks)
				if s != syscall.SIGUSR1 && stopping == 0 {
					stopping = lp.Now()
					slog.Info("server_draining", "signal", s)
				}
			})
		}
	}()
	swept, looked := time.Duration(0), time.Duration(0)
	lp.Run(func(now time.Duration) {
		core.SetNow(now)
		pool.SetNow(now)
	}, func(now time.Duration) time.Duration {
		next := min(core.Process(now), names.Tick(now), hooks.turn(now))
		if now-looked >= workerclient.MaintenanceInterval {
			looked = now
			pool.Maintain(now)
		}
		if now-swept >= time.Second {
			swept = now
			hooks.sweep(now)
		}
		if stopping > 0 {
			since := now - stopping
			core.Draining = since >= lingerFor
			done := core.OpenRequests() == 0 && (lp.UnwrittenBytes() == 0 && hooks.open() == 0 || since >= flushFor)
			if since >= lingerFor && done {
				lp.Stop()
			}
			next = min(next, now+10*time.Millisecond)
		}
		return next
	})
	hooks.close()
	printCounters(core, pool, names, hooks)
	slog.Info("server_stopped")
	return nil
}

// reload takes over what can change while the program runs: the directory's address and the routes. A file that
// can't be used changes nothing; of two files one may be used and the other not.
func reload(s *staff, names *discovery.Client, fresh *config.Config, err error, routes *route.Table, wrong error) {
	if err != nil {
		slog.Warn("config_reload_failed", "err", err)
		return
	}
	slog.Info("config_reloaded", "names", fresh.DiscoveryAddr)
	names.SetServer(s.lp.Now(), fresh.DiscoveryAddr)
	if changed := s.c.NeedsRestart(fresh); len(changed) > 0 {
		slog.Warn("config_restart_required", "settings", changed)
	}
	swapRoutes(s.core, s.c, routes, wrong)
	s.again()
}
