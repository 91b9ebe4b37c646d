package fake

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// defaultMemoryMB is the memory limit of routers, in MB.
const defaultMemoryMB = 192

// platformConfig is the configuration that the platform provides to a router. The platform defines the keys; fields are
// in the alphabetical order of their keys.
type platformConfig struct {
	Known     knownEndpoints  `json:"known"`
	Limits    processLimits   `json:"limits"`
	Listen    string          `json:"listen"`
	Name      string          `json:"name"`
	Discovery string          `json:"names"`
	Seed      string          `json:"seed"`
	Settings  serviceSettings `json:"settings"`
}

// knownEndpoints is the endpoint list that a router has when it starts.
type knownEndpoints struct {
	Batch  []endpointChange `json:"batch"`
	Offset int              `json:"offset"`
}

type endpointChange struct {
	Offset   int          `json:"offset"`
	Topology endpointList `json:"topology"`
}

type endpointList struct {
	Complete bool             `json:"complete"`
	Members  []listedEndpoint `json:"members"`
	Revision int              `json:"revision,omitempty"`
}

type listedEndpoint struct {
	Cell      int    `json:"cell"`
	Kind      string `json:"flavor"`
	Addr      string `json:"host_port"`
	Name      string `json:"id"`
	Zone      string `json:"locality"`
	State     string `json:"phase"`
	Weight    int    `json:"size"`
	StartedAt int64  `json:"up_since_ms"` // Unix milliseconds, or 0
}

// processLimits are the resource limits of the router's process.
type processLimits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// serviceSettings are the settings that all routers of a service share.
type serviceSettings struct {
	Classes        []classSettings    `json:"classes"`
	FailureDomains []string           `json:"failureDomains"`
	GranularityMs  int                `json:"granularityMs"`
	Kinds          []string           `json:"kinds"`
	Limits         protocolLimits     `json:"limits"`
	Routers        int                `json:"peersTotal"`
	LoadReport     loadReportSettings `json:"report"`
	WorkerRules    workerRules        `json:"rules"`
	Replicas       replicaSettings    `json:"specifics"`
}

type classSettings struct {
	DeadlineMs         int64   `json:"deadlineMs"`
	LatencyObjectiveMs int64   `json:"goalTimeMs"`
	DeduplicationScope string  `json:"group"`
	LatePriorityWeight float64 `json:"lateWorth"`
	Name               string  `json:"name"`
	Idempotency        string  `json:"semantics"`
	PriorityWeight     float64 `json:"worth"`
}

type protocolLimits struct {
	CancelSupported      bool `json:"cancel"`
	DialTimeoutMs        int  `json:"dialTimeoutMs"`
	KeepaliveMs          int  `json:"keepaliveMs"`
	MaxAttempts          int  `json:"maxAttempts"`
	MaxOpenRequests      int  `json:"maxOpen"`
	MaxRetryAfterMs      int  `json:"maxRetryAfterMs"`
	HealthCheckSupported bool `json:"mayProbe"`
	RetryAfterSupported  bool `json:"retryAfter"`
	HedgingAllowed       bool `json:"secondCopies"`
	RequestsPerConn      int  `json:"streamsPerConn"`
}

type loadReportSettings struct {
	Fields []string `json:"fields"`
	How    string   `json:"how"`
}

// workerRules are the settings for the slow start, overload and drain of workers.
type workerRules struct {
	SlowStartInitialCapacity float64 `json:"coldFrom"`
	SlowStartMs              int     `json:"coldMs"`
	DrainGraceMs             int     `json:"drainGraceMs"`
	OverloadWindowMs         int     `json:"fallMs"`
	OverloadMultiple         int     `json:"fallMultiple"`
}

// replicaSettings are the settings for loading and keeping replicas.
type replicaSettings struct {
	WhenNotLoaded         string  `json:"ifCold"`
	KeepAliveMs           int     `json:"lingerIdleMs"`
	LoadBudgetMinimum     int     `json:"loadFree"`
	LoadBudgetRatio       float64 `json:"loadPart"`
	LoadTimeoutMs         int     `json:"loadWaitMs"`
	LoadBudgetWindowMs    int     `json:"loadsWithinMs"`
	LoadCommandsSupported bool    `json:"placementCalls"`
	LoadStatusReported    bool    `json:"warmNotes"`
}

// Config returns the platform's configuration, as JSON, for a router that listens on the given address. It has the
// classes and limits of the example configuration and lists this site's workers.
func (s *Site) Config(listen string) []byte {
	members := make([]listedEndpoint, 0, len(s.Workers))
	for _, w := range s.Workers {
		members = append(members, listedEndpoint{
			Cell: w.Cell, Kind: w.Kind, Addr: w.Addr, Name: w.Name, Zone: w.Zone, State: "Ready", Weight: 1,
		})
	}
	return s.encodeConfig(listen, endpointList{Revision: 1, Complete: true, Members: members})
}

// ConfigWithoutWorkers returns the same configuration as Config, but its endpoint list is empty and has no revision.
func (s *Site) ConfigWithoutWorkers(listen string) []byte {
	return s.encodeConfig(listen, endpointList{Complete: true, Members: []listedEndpoint{}})
}

func (s *Site) encodeConfig(listen string, list endpointList) []byte {
	text, err := json.MarshalIndent(platformConfig{
		Known:     knownEndpoints{Offset: 1, Batch: []endpointChange{{Offset: 1, Topology: list}}},
		Limits:    processLimits{Cores: 1, MemoryMB: cmp.Or(s.MemoryMB, defaultMemoryMB), Sockets: 1024},
		Listen:    listen,
		Name:      "n1",
		Discovery: s.Discovery.Addr(),
		Seed:      "8c1f30d27a5be964",
		Settings:  s.settings(),
	}, "", "  ")
	if err != nil {
		// All values of the configuration can be encoded as JSON.
		panic(fmt.Sprintf("fake: encoding the configuration failed: %v", err))
	}
	return text
}

// settings returns the settings of a service that has this site's kinds of workers and failure domains.
func (s *Site) settings() serviceSettings {
	classes := make([]classSettings, 0, len(Classes))
	for _, class := range Classes {
		classes = append(classes, class.settings())
	}
	kinds := []string{}
	zones := []string{}
	for _, w := range s.Workers {
		kinds = appendUnique(kinds, w.Kind)
		zones = appendUnique(zones, w.Zone)
	}
	return serviceSettings{
		Classes:        classes,
		FailureDomains: zones,
		GranularityMs:  4,
		Kinds:          kinds,
		Limits:         exampleLimits,
		Routers:        1,
		LoadReport:     loadReportSettings{Fields: []string{"inflight"}, How: "inline"},
		WorkerRules:    exampleWorkerRules,
		Replicas:       exampleReplicaSettings,
	}
}

// settings returns the settings of a class.
func (c Class) settings() classSettings {
	idempotency := "unsafe"
	if c.Idempotent {
		idempotency = "safe"
	}
	return classSettings{
		DeadlineMs:         c.Timeout.Milliseconds(),
		LatencyObjectiveMs: c.LatencyObjective.Milliseconds(),
		DeduplicationScope: "all",
		LatePriorityWeight: 0.3,
		Name:               c.Name,
		Idempotency:        idempotency,
		PriorityWeight:     c.PriorityWeight,
	}
}

var exampleLimits = protocolLimits{
	CancelSupported:      true,
	DialTimeoutMs:        250,
	KeepaliveMs:          30000,
	MaxAttempts:          3,
	MaxOpenRequests:      20000,
	MaxRetryAfterMs:      1000,
	HealthCheckSupported: true,
	RetryAfterSupported:  true,
	HedgingAllowed:       true,
	RequestsPerConn:      32,
}

var exampleWorkerRules = workerRules{
	SlowStartInitialCapacity: 0.18,
	SlowStartMs:              17000,
	DrainGraceMs:             1000,
	OverloadWindowMs:         1000,
	OverloadMultiple:         2,
}

var exampleReplicaSettings = replicaSettings{
	WhenNotLoaded:         "miss",
	KeepAliveMs:           9900,
	LoadBudgetMinimum:     4,
	LoadBudgetRatio:       0.3,
	LoadTimeoutMs:         10000,
	LoadBudgetWindowMs:    10000,
	LoadCommandsSupported: true,
	LoadStatusReported:    true,
}

func appendUnique(list []string, value string) []string {
	if slices.Contains(list, value) {
		return list
	}
	return append(list, value)
}
