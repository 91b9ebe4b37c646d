package policy

import (
	"math"
	"time"
)

// Idempotency says how far a class of requests may be sent again once it may have run.
type Idempotency uint8

// The kinds of Idempotency.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // workers of a scope drop repeats by their key, for a time
	NotIdempotent                        // must never run twice
)

// String returns the idempotency in lower-case words.
func (i Idempotency) String() string {
	return nameOf("Idempotency", i, "idempotent", "idempotent with key", "not idempotent")
}

// DeduplicationScope says which workers drop the repeats of a request with an idempotency key.
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

// Class is a class of requests.
type Class struct {
	LatencyObjective    time.Duration // responses within it earn the full weight
	Deadline            time.Duration // how long a client waits in all
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow time.Duration // IdempotentWithKey: how long repeats are dropped
	Streamed            bool
	PriorityWeight      float64 // weight of a response within the latency objective
	LatePriorityWeight  float64 // and of a later one
	// ObjectiveStretch lengthens LatencyObjective by this many times the request's own work; 0 where unused.
	ObjectiveStretch float64
}

// Tenant is a customer with a quota.
type Tenant struct {
	RequestsPerSecond float64 // within its quota, over all routers
}

// Config holds the settings of a router. They are fixed for its lifetime.
type Config struct {
	Routers int // this one included; at least 1
	Zone    int // this router's zone
	Classes []Class
	Tenants []Tenant
	// WeightByWork says that the priority weight of a request grows with its work.
	WeightByWork bool
	Tick         time.Duration // events come at most this often

	EndpointsByPolling bool     // the endpoint list comes only after Subscribe or FetchEndpoints
	LoadReportFields   []string // names of the values in a load report
	InlineLoadReports  bool     // reports come with responses as well as with health checks

	MaxAttempts          int // per request; 0: no limit
	CancelSupported      bool
	HealthCheckSupported bool
	GossipSupported      bool
	HedgingAllowed       bool // two attempts of a request may be in flight at once
	RetryAfterSupported  bool // clients are given Reject.RetryAfter
	MaxRetryAfter        time.Duration
	OverQuotaWeight      float64 // factor of the weight of a request beyond a quota; 1 where unused

	PollInterval             time.Duration // EndpointsByPolling: the list counts as known after this
	SlowStartInitialCapacity float64       // a worker starts at this share of its capacity or more
	SlowStartDuration        time.Duration // and is warm after this at the latest
	OverloadMultiple         float64       // sent more than this many times its present capacity
	OverloadWindow           time.Duration // for this long, a worker in slow start falls over
	DrainGracePeriod         time.Duration

	MissWhenNotLoaded     bool          // a worker without the function answers NotLoaded and does not load it
	LoadCommandsSupported bool          // Load and Unload are allowed
	LoadStatusReported    bool          // responses report whether a replica was loaded
	ConcurrencyReported   bool          // responses report how many requests of the function the worker held
	KeepAlive             time.Duration // an idle replica stays this long at least
	LoadTimeout           time.Duration // a load without a response by then ends as TimedOut
	LoadBudgetWindow      time.Duration // window of the budget for load orders; 0: none
	LoadBudgetMinimum     float64       // orders allowed in a window
	LoadBudgetRatio       float64       // and further ones as a share of the requests that came in it

	MemoryPrice    float64 // of all memory if idle replicas use it, as a share of the weight of all requests
	WorkerMemoryMB float64 // memory of a worker, in the mean of the kinds; 0 where unknown
}

// numericSetting is a setting that must be a number from 0 to a limit.
type numericSetting struct {
	name  string
	value float64
	limit float64
}

// valid reports whether the amount is a number within its limit. NaN is not.
func (s numericSetting) valid() bool { return s.value >= 0 && s.value <= s.limit }

// validate returns a *ConfigError for settings that no platform can mean.
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

// valid reports whether requests of the class can be decided on.
func (c Class) valid() bool {
	return c.LatencyObjective > 0 && c.Deadline > 0 && c.DeduplicationWindow >= 0 &&
		c.Idempotency <= NotIdempotent && c.DeduplicationScope <= DeduplicatedInCell
}

// numericSettings lists the settings that New checks one by one. Of Classes, those after the first count.
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
