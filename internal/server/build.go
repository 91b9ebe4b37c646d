package server

import (
	"log/slog"
	"time"

	"crankhold/internal/config"
	"crankhold/internal/discovery"
	"crankhold/internal/eventloop"
	"crankhold/internal/router"
	"crankhold/internal/thrift"
	"crankhold/internal/workerclient"
	"crankhold/policy"
)

const (
	healthCheckTimeout   = 250 * time.Millisecond
	discoveryDialTimeout = time.Second
)

// Limits on the data that is kept for peers, in bytes. They apply at the memory limit for which
// config.Config.ScaleToMemory returns them unchanged.
const (
	maxQueuedBytes         = 8 << 20  // read from peers and queued for the event loop
	maxUnreadBytes         = 32 << 20 // written and not yet read by peers
	maxPartialBytes        = 16 << 20 // requests that have arrived in part
	maxRequestBytes        = 24 << 20 // bodies of open requests
	maxWebhookOutcomeBytes = 16 << 20 // outcomes that are kept for redeliveries by webhook senders
)

// maxRememberedIDs is how many ids of requests all connections to workers remember together, at the same memory limit.
const maxRememberedIDs = 192 << 10

// New builds a server from the configuration. It opens no socket. The server calls reread at each reload.
func New(cfg *config.Config, options Options, reread func() (*config.Config, error)) (*Server, error) {
	scheduler, err := policy.New(cfg.Policy, cfg.SeedValue)
	if err != nil {
		return nil, err
	}
	scheduler.LimitTables(policy.TableLimits{Functions: cfg.MaxFunctions(), Replicas: cfg.MaxReplicas()})
	if options.Logger == nil {
		options.Logger = slog.Default()
	}
	s := &Server{config: cfg, options: options, logger: options.Logger, closed: make(chan struct{})}
	s.lifecycle.schedule = newDrainSchedule(longestDeadline(cfg.Policy.Classes))
	s.loop = newEventLoop(cfg, s.logger)
	s.core = s.newCore(scheduler)
	membership := newMembership(s.loop, s.core, s.workers, cfg, s.logger)
	addresses, err := readAddresses(options.AddressesFile)
	if err != nil {
		return nil, err
	}
	s.discovery = newDiscoveryClient(cfg, s.loop, membership, addresses.UnixInTXT)
	s.reloader = &reloader{
		config:     cfg,
		options:    options,
		reread:     reread,
		logger:     s.logger,
		loop:       s.loop,
		core:       s.core,
		discovery:  s.discovery,
		membership: membership,
	}
	return s, nil
}

func newEventLoop(cfg *config.Config, logger *slog.Logger) *eventloop.Loop {
	return eventloop.New(eventloop.Config{
		MaxAccepted:    cfg.MaxClientConnections(),
		MaxDescriptors: cfg.Limits.MaxDescriptors,
		MaxQueuedBytes: cfg.ScaleToMemory(maxQueuedBytes),
		MaxUnreadBytes: cfg.ScaleToMemory(maxUnreadBytes),

		MaxPartialBytes: cfg.ScaleToMemory(maxPartialBytes),
		Logger:          logger,
	})
}

// newCore returns the core. It also sets s.workers to the worker client that it creates for the core.
func (s *Server) newCore(scheduler *policy.Policy) *router.Core {
	cfg := s.config
	return router.New(scheduler, router.Config{
		Limits: router.Limits{
			MaxConcurrentRequests: cfg.MaxConcurrentRequests(),
			MaxBytes:              cfg.ScaleToMemory(maxRequestBytes),
			RetryAfter:            cfg.RejectionRetryAfter(),
			MaxAttempts:           cfg.Policy.MaxAttempts,
			LoadTimeout:           cfg.Policy.LoadTimeout,
			HealthCheckTimeout:    healthCheckTimeout,
			MaxSpentIDs:           cfg.MaxSpentIDs(),
		},
		Tenants: cfg.TenantNames(),
		RunOnce: runOnce(cfg.Policy.Classes),
		NewWorkerClient: func(core *router.Core) router.WorkerClient {
			s.workers = newWorkerClient(cfg, s.loop, core, s.logger)
			return s.workers
		},
		OnCompleted: func(now time.Duration, r *router.Request, completion router.Completion) {
			s.integrations.requestCompleted(now, r, completion) // Start sets s.integrations before a front listens
		},
	})
}

func newWorkerClient(
	cfg *config.Config, loop *eventloop.Loop, results workerclient.ResultHandler, logger *slog.Logger,
) *workerclient.Pool {
	limits := cfg.Network.Limits
	return workerclient.New(workerclient.Config{
		Classes:                  cfg.ClassNames(),
		ReportFields:             cfg.Policy.LoadReportFields,
		DialTimeout:              config.Millis(limits.DialTimeoutMs),
		KeepAlive:                config.Millis(limits.KeepAliveMs),
		SlowestObjective:         slowestObjective(cfg.Policy.Classes),
		MaxRequestsPerConnection: limits.MaxRequestsPerConnection,
		MaxConnections:           cfg.MaxWorkerConnections(),
		MaxRememberedIDs:         cfg.ScaleToMemory(maxRememberedIDs),
		CancelSupported:          cfg.Policy.CancelSupported,
		HealthChecksAllowed:      cfg.Policy.HealthCheckSupported,
		Seed:                     cfg.SeedValue,
		Logger:                   logger,
		Dial: func(network, addr string, timeout time.Duration, handler eventloop.DialHandler) workerclient.Transport {
			return loop.Dial(network, addr, timeout, handler)
		},
	}, results)
}

// runOnce tells, by class, whether a request that may have run must not run again under its ID. Workers drop repeats of
// a class with idempotency keys within a group and for a time; a repeat may come to another group, or later.
func runOnce(classes []policy.Class) (byClass []bool) {
	for _, class := range classes {
		byClass = append(byClass, class.Idempotency != policy.Idempotent)
	}
	return byClass
}

// slowestObjective returns the longest latency objective of all classes.
func slowestObjective(classes []policy.Class) time.Duration {
	slowest := time.Duration(0)
	for _, class := range classes {
		slowest = max(slowest, class.LatencyObjective)
	}
	return slowest
}

// longestDeadline returns the longest deadline of all classes.
func longestDeadline(classes []policy.Class) time.Duration {
	longest := time.Duration(0)
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

func newDiscoveryClient(
	cfg *config.Config, loop *eventloop.Loop, members *membership, unixInTXT bool,
) *discovery.Client {
	return discovery.New(discovery.Config{
		Addr:             cfg.DiscoveryAddr,
		Seed:             cfg.SeedValue,
		DrainGracePeriod: cfg.Policy.DrainGracePeriod,
		UnixInTXT:        unixInTXT,
		Dial: func(addr string, handler eventloop.DialHandler) discovery.Transport {
			return loop.Dial("udp", addr, discoveryDialTimeout, handler)
		},
		ListChanged:   members.update,
		ListConfirmed: members.listConfirmed,
		Logger:        members.logger,
	})
}

// thriftConfig returns the tenants and classes that the Thrift front checks requests against.
func thriftConfig(cfg *config.Config, logger *slog.Logger) thrift.Config {
	front := thrift.Config{Tenants: cfg.TenantNames(), Logger: logger}
	names := cfg.ClassNames()
	for i, class := range cfg.Policy.Classes {
		front.Classes = append(front.Classes, thrift.Class{
			Name:                   names[i],
			RequiresIdempotencyKey: class.Idempotency == policy.IdempotentWithKey,
		})
	}
	return front
}
