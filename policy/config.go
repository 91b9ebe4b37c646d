package policy

import (
	"math"
	"time"
)

// Idempotency tells whether the requests of a class may be retried after an attempt that may have run.
type Idempotency uint8

// The kinds of Idempotency.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // workers of a scope drop retries with the same key, for a time
	NotIdempotent                        // must never run twice
)

// String returns the idempotency in lower case.
func (i Idempotency) String() string {
	return nameOf("Idempotency", i, "idempotent", "idempotent with key", "not idempotent")
}

// DeduplicationScope tells which workers drop the retries of a request with an idempotency key.
type DeduplicationScope uint8

// The kinds of DeduplicationScope.
const (
	DeduplicatedEverywhere DeduplicationScope = iota // every worker
	DeduplicatedInZone                               // workers of one zone
	DeduplicatedInCell                               // workers of one cell
)

// String returns the scope in lower case.
func (s DeduplicationScope) String() string {
	return nameOf("DeduplicationScope", s, "everywhere", "zone", "cell")
}

// Class holds the settings of a class of requests.
type Class struct {
	LatencyObjective    time.Duration // responses within it count with PriorityWeight
	Deadline            time.Duration // how long a client waits in total
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow time.Duration // IdempotentWithKey: how long workers drop retries
	Streamed            bool
	PriorityWeight      float64 // weight of a response within the latency objective
	LatePriorityWeight  float64 // weight of a later response
	// ObjectiveStretch extends LatencyObjective by this multiple of the request's own work; 0: not extended.
	ObjectiveStretch float64
}

// Tenant holds the quota of a customer.
type Tenant struct {
	RequestsPerSecond float64 // quota, over all routers
}

// Config holds the settings of a router. They are fixed for its lifetime.
type Config struct {
	Routers int // number of routers, including this one; at least 1
	Zone    int // this router's zone
	Classes []Class
	Tenants []Tenant
	// WeightByWork means that the priority weight of a request grows with its work.
	WeightByWork bool
	Tick         time.Duration // clock tick; the router passes events at most this often

	EndpointsByPolling bool     // the endpoint list is received only after Subscribe or FetchEndpoints
	LoadReportFields   []string // names of the values in a load report
	InlineLoadReports  bool     // load reports come with responses as well as with health checks

	MaxAttempts          int // per request; 0: no limit
	CancelSupported      bool
	HealthCheckSupported bool
	GossipSupported      bool
	HedgingAllowed       bool // two attempts of a request may be in flight at once
	RetryAfterSupported  bool // clients receive Reject.RetryAfter
	MaxRetryAfter        time.Duration
	OverQuotaWeight      float64 // factor on the weight of a request beyond a quota; 1: no effect

	PollInterval             time.Duration // EndpointsByPolling: the list counts as known after this time
	SlowStartInitialCapacity float64       // least share of its capacity that a worker has when it starts
	SlowStartDuration        time.Duration // a worker has its full capacity after this time at the latest

	// A worker in slow start fails if it is sent more than OverloadMultiple times its present capacity for
	// OverloadWindow.
	OverloadMultiple float64
	OverloadWindow   time.Duration

	DrainGracePeriod time.Duration

	MissWhenNotLoaded     bool          // a worker without the function responds NotLoaded and loads nothing
	LoadCommandsSupported bool          // Load and Unload are allowed
	LoadStatusReported    bool          // responses report whether a replica was loaded
	ConcurrencyReported   bool          // responses report AttemptCompleted.Concurrency
	KeepAlive             time.Duration // least time for which an idle replica stays loaded
	LoadTimeout           time.Duration // a load without a response within this time ends as TimedOut
	LoadBudgetWindow      time.Duration // window of the load budget; 0: no load budget
	LoadBudgetMinimum     float64       // load commands that are always allowed in a window
	LoadBudgetRatio       float64       // further load commands, as a share of the requests in the window

	// MemoryPrice is the cost of having all memory used by idle replicas, as a share of the weight of all
	// requests.
	MemoryPrice    float64
	WorkerMemoryMB float64 // memory of a worker, averaged over the kinds of workers; 0: unknown
}

// numericSetting is a setting that must be a number from 0 to a limit.
type numericSetting struct {
	name  string
	value float64
	limit float64
}

// valid reports whether the value is within its range. NaN is not.
func (s numericSetting) valid() bool { return s.value >= 0 && s.value <= s.limit }

// validate returns a *ConfigError if the settings are invalid.
func (c *Config) validate() error {
	for i, class := range c.Classes {
		if !class.valid() {
			return &ConfigError{Class: i, Config: *c}
		}
	}
	for _, s := range c.numericSettings() {
		if !s.valid() {
			return &ConfigError{Class: NoClass, Setting: s.name, Config: *c}
		}
	}
	return nil
}

// valid reports whether the settings of the class are valid.
func (c Class) valid() bool {
	return c.LatencyObjective > 0 && c.Deadline > 0 && c.DeduplicationWindow >= 0 &&
		c.Idempotency <= NotIdempotent && c.DeduplicationScope <= DeduplicatedInCell
}

// numericSettings lists the settings whose range New checks. The value of Classes is the number of classes
// after the first, so that it is negative if there are none.
func (c *Config) numericSettings() []numericSetting {
	const finite = math.MaxFloat64
	return []numericSetting{
		{"Classes", float64(len(c.Classes) - 1), finite},
		{"MaxAttempts", float64(c.MaxAttempts), finite},
		{"Tick", float64(c.Tick), finite},
		{"SlowStartInitialCapacity", c.SlowStartInitialCapacity, 1},
		{"SlowStartDuration", float64(c.SlowStartDuration), finite},
		{"OverloadMultiple", c.OverloadMultiple, finite},
		{"OverloadWindow", float64(c.OverloadWindow), finite},
		{"KeepAlive", float64(c.KeepAlive), finite},
		{"LoadBudgetWindow", float64(c.LoadBudgetWindow), finite},
		{"LoadBudgetMinimum", c.LoadBudgetMinimum, finite},
		{"LoadBudgetRatio", c.LoadBudgetRatio, finite},
	}
}
