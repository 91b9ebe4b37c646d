package server

import (
	"log/slog"
	"runtime"
	"runtime/debug"
	"time"

	"crankhold/internal/config"
	"crankhold/internal/discovery"
	"crankhold/internal/eventloop"
	"crankhold/internal/router"
	"crankhold/internal/signals"
	"crankhold/internal/thrift"
	"crankhold/internal/workerclient"
)

const (
	// maxProcs is the value of GOMAXPROCS. It is higher than the number of cores of a router, so that a poller that
	// sleeps in the kernel does not delay the event loop.
	maxProcs = 4

	// goMemoryPercent is the percentage of the memory limit that the Go runtime tries to stay within. The rest is for
	// the kernel's buffers and the runtime's own overhead.
	goMemoryPercent = 60

	// readyTimeout is how long a router that starts with an empty endpoint list waits for discovery before it reports
	// itself ready anyway. Requests then wait for a worker: the discovery server may be down for longer than a start
	// may take.
	readyTimeout = 2 * time.Second
)

// Server is one function router with all its connections. The goroutine that calls Run owns its fields, unless a method
// says otherwise.
type Server struct {
	config  *config.Config
	options Options
	logger  *slog.Logger

	loop         *eventloop.Loop
	core         *router.Core
	workers      *workerclient.Pool
	discovery    *discovery.Client
	reloader     *reloader
	integrations *integrations

	lifecycle       lifecycle
	lastMaintenance time.Duration // of the connections to workers

	closed chan struct{} // stops the goroutines that wait for signals
}

// Serve runs a function router until a signal or options.Stop shuts it down, and returns an error if it could not
// start. It blocks. On SIGHUP it applies the configuration that reread returns, and reads the routes again.
func Serve(cfg *config.Config, options Options, reread func() (*config.Config, error)) error {
	if options.Signals == nil {
		options.Signals = signals.Notify()
		defer options.Signals.Close()
	}
	limitRuntime(cfg)
	server, err := New(cfg, options, reread)
	if err != nil {
		return err
	}
	defer server.Close()
	if err := server.Start(); err != nil {
		return err
	}
	server.Run()
	return nil
}

// limitRuntime sets the limits of the Go runtime, which apply to the whole process.
func limitRuntime(cfg *config.Config) {
	runtime.GOMAXPROCS(maxProcs)
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB) << 20 * goMemoryPercent / 100)
}

// Start applies the endpoint list of the configuration, reads the routes, enables the integrations and opens the
// listeners. It blocks while it reads files.
func (s *Server) Start() error {
	if err := s.discovery.LoadSnapshot(s.config.Snapshot); err != nil {
		return err
	}
	if err := s.reloader.loadInitialRoutes(); err != nil {
		return err
	}
	integrations, err := newIntegrations(s.options, s.config, s.loop, s.core)
	if err != nil {
		return err
	}
	s.integrations = integrations
	startedAt := s.loop.Now()
	front := thrift.New(s.core, thriftConfig(s.config, s.logger), s.loop, s.ready)
	s.loop.Listen(s.config.Listen, front.Accept)
	if err := s.loop.Start(); err != nil {
		s.integrations.close()
		return err
	}
	s.lifecycle.serve(startedAt)
	s.logger.Info("server_started",
		slog.String("name", s.config.Name),
		slog.String("listen", s.config.Listen))
	return nil
}

// ready reports whether clients should send requests. That is the case in the state serving once a worker is listed,
// discovery has responded or readyTimeout has passed.
func (s *Server) ready() bool {
	if s.lifecycle.state != serving {
		return false
	}
	return s.discovery.WorkerCount() > 0 || s.discovery.ResponsesRead > 0 ||
		s.loop.Now()-s.lifecycle.servingSince >= readyTimeout
}

// Run serves until a drain has ended. It blocks, and runs the event loop on the goroutine that calls it. Call it once,
// after Start.
func (s *Server) Run() {
	go s.reloader.watch(s.options.Signals.Reload, s.closed)
	go s.watchStopSignals()
	s.loop.Run(s.startTurn, s.endTurn)
	s.integrations.close()
	s.logCounters()
	s.logger.Info("server_stopped")
}

// startTurn sets the time of the core and of the worker client before the handlers of a turn are called.
func (s *Server) startTurn(now time.Duration) {
	s.core.SetNow(now)
	s.workers.SetNow(now)
}

// endTurn does the work that is due after the handlers of a turn, and returns the latest time at which it must be
// called again. The order matters: the core's decisions are sent before discovery is polled.
func (s *Server) endTurn(now time.Duration) time.Duration {
	next := s.core.Process(now)
	s.loop.PartEnded("core")
	next = min(next, s.discovery.Tick(now))
	next = min(next, s.integrations.tick(now))
	s.loop.PartEnded("ticks")
	if now-s.lastMaintenance >= workerclient.MaintenanceInterval {
		s.lastMaintenance = now
		s.workers.Maintain(now)
		s.loop.PartEnded("maintenance")
	}
	s.integrations.sweep(now)
	if s.lifecycle.isDraining() {
		next = min(next, s.continueDrain(now))
	}
	return next
}

// Close closes the sockets and stops all goroutines that the server started. It does not wait for a reload that is
// reading its files: these may be pipes, and the result no longer has any effect. Call it once, on the goroutine that
// called Run or when that goroutine no longer uses the server.
func (s *Server) Close() {
	close(s.closed)
	s.loop.Close()
}
