package simulator

import (
	"encoding/json"

	"crankhold/policy"
)

// settings contains the keys of the JSON that are used; all other keys are ignored. Its sections are anonymous structs,
// because errors of encoding/json would contain the names of their types.
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

// class is a class of requests in the settings.
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

// tenant is a tenant in the settings.
type tenant struct {
	RequestsPerSecond float64 `json:"allowancePerS"`
}

// ParseSettings returns the policy's configuration for the settings of an Init or of a router's configuration. It
// returns a *SettingsError if the settings are invalid.
func ParseSettings(text []byte) (policy.Config, error) {
	var s settings
	if err := json.Unmarshal(text, &s); err != nil {
		return policy.Config{}, &SettingsError{Class: NoClass, Err: err}
	}
	c := s.config()
	for i := range s.Classes {
		class, err := s.Classes[i].policyClass(i)
		if err != nil {
			return policy.Config{}, err
		}
		c.Classes = append(c.Classes, class)
	}
	for _, t := range s.Tenants {
		c.Tenants = append(c.Tenants, policy.Tenant{RequestsPerSecond: t.RequestsPerSecond})
	}
	return c, nil
}

// config returns the policy's configuration without classes and tenants.
func (s *settings) config() policy.Config {
	c := policy.Config{
		Routers:            s.Routers,
		Zone:               s.Zone,
		WeightByWork:       s.WeightUnit == "work",
		Tick:               fromMillis(s.TickMs),
		EndpointsByPolling: s.EndpointListMode == "subscribe",
		LoadReportFields:   s.Report.Fields,
		InlineLoadReports:  s.Report.How == "inline",
		OverQuotaWeight:    1,
	}
	if s.OverQuotaWeight != nil {
		c.OverQuotaWeight = *s.OverQuotaWeight
	}
	s.applyLimits(&c)
	s.applyRules(&c)
	s.applySpecifics(&c)
	return c
}

// applyLimits sets the fields that come from the section "limits": what the router is allowed to do.
func (s *settings) applyLimits(c *policy.Config) {
	c.MaxAttempts = s.Limits.MaxAttempts
	c.CancelSupported = s.Limits.CancelSupported
	c.HealthCheckSupported = s.Limits.HealthCheckSupported
	c.GossipSupported = s.Limits.GossipSupported
	c.HedgingAllowed = s.Limits.HedgingAllowed
	c.RetryAfterSupported = s.Limits.RetryAfterSupported
	c.MaxRetryAfter = fromMillis(s.Limits.MaxRetryAfterMs)
}

// applyRules sets the fields that come from the section "rules": parameters for workers that start or drain.
func (s *settings) applyRules(c *policy.Config) {
	c.PollInterval = fromMillis(s.Rules.PollIntervalMs)
	c.SlowStartInitialCapacity = s.Rules.SlowStartInitialCapacity
	c.SlowStartDuration = fromMillis(s.Rules.SlowStartMs)
	c.OverloadMultiple = s.Rules.OverloadMultiple
	c.OverloadWindow = fromMillis(s.Rules.OverloadWindowMs)
	c.DrainGracePeriod = fromMillis(s.Rules.DrainGracePeriodMs)
}

// applySpecifics sets the fields that come from the section "specifics": parameters of functions and their replicas.
func (s *settings) applySpecifics(c *policy.Config) {
	c.MissWhenNotLoaded = s.Specifics.WhenNotLoaded == "miss"
	c.LoadCommandsSupported = s.Specifics.LoadCommandsSupported
	c.LoadStatusReported = s.Specifics.LoadStatusReported
	c.ConcurrencyReported = s.Specifics.ConcurrencyReported
	c.KeepAlive = fromMillis(s.Specifics.KeepAliveMs)
	c.LoadTimeout = fromMillis(s.Specifics.LoadTimeoutMs)
	c.LoadBudgetWindow = fromMillis(s.Specifics.LoadBudgetWindowMs)
	c.LoadBudgetMinimum = s.Specifics.LoadBudgetMinimum
	c.LoadBudgetRatio = s.Specifics.LoadBudgetRatio
	c.MemoryPrice = s.Specifics.MemoryPrice
	for _, megabytes := range s.Specifics.MemoryMBByKind {
		c.WorkerMemoryMB += megabytes / float64(len(s.Specifics.MemoryMBByKind))
	}
}

// policyClass returns the class in the form of package policy. Its error is a *SettingsError, which contains the given
// index of the class in the settings.
func (k *class) policyClass(index int) (policy.Class, error) {
	c := policy.Class{
		LatencyObjective:    fromMillis(k.LatencyObjectiveMs),
		Deadline:            fromMillis(k.DeadlineMs),
		DeduplicationWindow: fromMillis(k.DeduplicationWindowMs),
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
	default: // cell or absent: the narrowest scope
		c.DeduplicationScope = policy.DeduplicatedInCell
	}
	return c, nil
}
