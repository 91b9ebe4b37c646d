package simulator

import (
	"encoding/json"
	"math"
	"time"

	"crankhold/policy"
)

// settings mirrors the keys of the JSON that are read; all others are passed over.
type settings struct {
	Routers          int      `json:"peersTotal"`
	Zone             int      `json:"zone"`
	TickMs           float64  `json:"granularityMs"`
	WeightUnit       string   `json:"countedBy"`
	EndpointListMode string   `json:"membershipMode"`
	OverQuotaWeight  *float64 `json:"overShareWorth"`
	Classes          []class  `json:"classes"`
	Tenants          []tenant `json:"accounts"`
	Report           struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"report"`
	Limits struct {
		CancelSupported      bool    `json:"cancel"`
		HealthCheckSupported bool    `json:"mayProbe"`
		GossipSupported      bool    `json:"peers"`
		HedgingAllowed       bool    `json:"secondCopies"`
		RetryAfterSupported  bool    `json:"retryAfter"`
		MaxAttempts          int     `json:"maxAttempts"`
		MaxRetryAfterMs      float64 `json:"maxRetryAfterMs"`
	} `json:"limits"`
	Rules struct {
		PollIntervalMs           float64 `json:"askWithinMs"`
		SlowStartInitialCapacity float64 `json:"coldFrom"`
		SlowStartMs              float64 `json:"coldMs"`
		DrainGracePeriodMs       float64 `json:"drainGraceMs"`
		OverloadWindowMs         float64 `json:"fallMs"`
		OverloadMultiple         float64 `json:"fallMultiple"`
	} `json:"rules"`
	Specifics struct {
		WhenNotLoaded         string    `json:"ifCold"`
		KeepAliveMs           float64   `json:"lingerIdleMs"`
		LoadBudgetMinimum     float64   `json:"loadFree"`
		LoadBudgetRatio       float64   `json:"loadPart"`
		LoadTimeoutMs         float64   `json:"loadWaitMs"`
		LoadBudgetWindowMs    float64   `json:"loadsWithinMs"`
		ConcurrencyReported   bool      `json:"notesPeersInHand"`
		LoadCommandsSupported bool      `json:"placementCalls"`
		LoadStatusReported    bool      `json:"warmNotes"`
		MemoryPrice           float64   `json:"memoryPrice"`
		MemoryMBByKind        []float64 `json:"memoryMbByKind"`
	} `json:"specifics"`
}

type class struct {
	DeadlineMs            float64 `json:"deadlineMs"`
	LatencyObjectiveMs    float64 `json:"goalTimeMs"`
	ObjectiveStretch      float64 `json:"aimStretch"`
	DeduplicationScope    string  `json:"group"`
	LatePriorityWeight    float64 `json:"lateWorth"`
	Idempotency           string  `json:"semantics"`
	Streamed              bool    `json:"streamed"`
	DeduplicationWindowMs float64 `json:"windowMs"`
	PriorityWeight        float64 `json:"worth"`
}

type tenant struct {
	RequestsPerSecond float64 `json:"allowancePerS"`
}

// ParseSettings turns the settings of an Init into a policy.Config. It returns a *SettingsError for what it can't read.
func ParseSettings(text []byte) (policy.Config, error) {
	var s settings
	if err := json.Unmarshal(text, &s); err != nil {
		return policy.Config{}, &SettingsError{Class: NoClass, Err: err}
	}
	c := s.config()
	for i, k := range s.Classes {
		class, err := k.policyClass(i)
		if err != nil {
			return policy.Config{}, err
		}
		c.Classes = append(c.Classes, class)
	}
	for _, a := range s.Tenants {
		c.Tenants = append(c.Tenants, policy.Tenant{RequestsPerSecond: a.RequestsPerSecond})
	}
	return c, nil
}

// config is the Config without classes and tenants.
func (s *settings) config() policy.Config {
	c := policy.Config{
		Routers:                  s.Routers,
		Zone:                     s.Zone,
		WeightByWork:             s.WeightUnit == "work",
		Tick:                     millis(s.TickMs),
		EndpointsByPolling:       s.EndpointListMode == "subscribe",
		LoadReportFields:         s.Report.Fields,
		InlineLoadReports:        s.Report.How == "inline",
		MaxAttempts:              s.Limits.MaxAttempts,
		CancelSupported:          s.Limits.CancelSupported,
		HealthCheckSupported:     s.Limits.HealthCheckSupported,
		GossipSupported:          s.Limits.GossipSupported,
		HedgingAllowed:           s.Limits.HedgingAllowed,
		RetryAfterSupported:      s.Limits.RetryAfterSupported,
		MaxRetryAfter:            millis(s.Limits.MaxRetryAfterMs),
		OverQuotaWeight:          1,
		PollInterval:             millis(s.Rules.PollIntervalMs),
		SlowStartInitialCapacity: s.Rules.SlowStartInitialCapacity,
		SlowStartDuration:        millis(s.Rules.SlowStartMs),
		OverloadMultiple:         s.Rules.OverloadMultiple,
		OverloadWindow:           millis(s.Rules.OverloadWindowMs),
		DrainGracePeriod:         millis(s.Rules.DrainGracePeriodMs),
		MissWhenNotLoaded:        s.Specifics.WhenNotLoaded == "miss",
		LoadCommandsSupported:    s.Specifics.LoadCommandsSupported,
		LoadStatusReported:       s.Specifics.LoadStatusReported,
		ConcurrencyReported:      s.Specifics.ConcurrencyReported,
		KeepAlive:                millis(s.Specifics.KeepAliveMs),
		LoadTimeout:              millis(s.Specifics.LoadTimeoutMs),
		LoadBudgetWindow:         millis(s.Specifics.LoadBudgetWindowMs),
		LoadBudgetMinimum:        s.Specifics.LoadBudgetMinimum,
		LoadBudgetRatio:          s.Specifics.LoadBudgetRatio,
		MemoryPrice:              s.Specifics.MemoryPrice,
	}
	for _, megabytes := range s.Specifics.MemoryMBByKind {
		c.WorkerMemoryMB += megabytes / float64(len(s.Specifics.MemoryMBByKind))
	}
	if s.OverQuotaWeight != nil {
		c.OverQuotaWeight = *s.OverQuotaWeight
	}
	return c
}

// policyClass is the class as package policy knows it; index is its own in the settings.
func (k class) policyClass(index int) (policy.Class, error) {
	c := policy.Class{
		LatencyObjective:    millis(k.LatencyObjectiveMs),
		Deadline:            millis(k.DeadlineMs),
		DeduplicationWindow: millis(k.DeduplicationWindowMs),
		Streamed:            k.Streamed,
		PriorityWeight:      k.PriorityWeight,
		LatePriorityWeight:  k.LatePriorityWeight,
		ObjectiveStretch:    k.ObjectiveStretch,
	}
	switch k.Idempotency {
	case "safe":
		c.Idempotency = policy.Idempotent
	case "keyed":
		c.Idempotency = policy.IdempotentWithKey
	case "unsafe":
		c.Idempotency = policy.NotIdempotent
	default:
		return policy.Class{}, &SettingsError{Class: index, Semantics: k.Idempotency}
	}
	switch k.DeduplicationScope {
	case "all":
		c.DeduplicationScope = policy.DeduplicatedEverywhere
	case "zone":
		c.DeduplicationScope = policy.DeduplicatedInZone
	default: // cell, or absent: the narrowest promise
		c.DeduplicationScope = policy.DeduplicatedInCell
	}
	return c, nil
}

// millis turns milliseconds into a Duration; what is no number, or out of range, becomes 0.
func millis(ms float64) time.Duration {
	if math.IsNaN(ms) || math.Abs(ms) > 1e12 {
		return 0
	}
	return time.Duration(math.Round(ms * 1e6))
}
