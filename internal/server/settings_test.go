package server

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"crankhold/internal/config"
	"crankhold/internal/simulator"
	"crankhold/policy"
)

// derwentPolicy is the policy configuration of testdata/deployments/derwent.json, field by field.
var derwentPolicy = policy.Config{
	Routers: 1,
	Zone:    0,
	Classes: []policy.Class{
		{LatencyObjective: time.Second, Deadline: 3 * time.Second, Idempotency: policy.Idempotent, DeduplicationScope: policy.DeduplicatedEverywhere, DeduplicationWindow: 5 * time.Second,
			PriorityWeight: 3, LatePriorityWeight: 0.3},
		{LatencyObjective: time.Second, Deadline: 2500 * time.Millisecond, Idempotency: policy.IdempotentWithKey, DeduplicationScope: policy.DeduplicatedEverywhere, DeduplicationWindow: 5 * time.Second,
			PriorityWeight: 3, LatePriorityWeight: 0.1},
		{LatencyObjective: 800 * time.Millisecond, Deadline: 3 * time.Second, Idempotency: policy.NotIdempotent, DeduplicationScope: policy.DeduplicatedEverywhere, DeduplicationWindow: 5 * time.Second,
			PriorityWeight: 2, LatePriorityWeight: 0.2},
	},
	Tenants:                  []policy.Tenant{{RequestsPerSecond: 308}, {RequestsPerSecond: 70}, {RequestsPerSecond: 62}},
	Tick:                     2 * time.Millisecond,
	LoadReportFields:         []string{"util", "queue", "x1", "x0"},
	InlineLoadReports:        true,
	MaxAttempts:              5,
	CancelSupported:          true,
	HealthCheckSupported:     true,
	RetryAfterSupported:      true,
	MaxRetryAfter:            500 * time.Millisecond,
	OverQuotaWeight:          0.2,
	PollInterval:             10 * time.Second,
	SlowStartInitialCapacity: 0.18,
	SlowStartDuration:        18 * time.Second,
	OverloadMultiple:         4,
	OverloadWindow:           time.Second,
	DrainGracePeriod:         500 * time.Millisecond,
	LoadCommandsSupported:    true,
	LoadStatusReported:       true,
	ConcurrencyReported:      true,
	KeepAlive:                10 * time.Second,
	LoadTimeout:              10 * time.Second,
	LoadBudgetWindow:         10 * time.Second,
	LoadBudgetMinimum:        4,
	LoadBudgetRatio:          0.3,
	MemoryPrice:              0.15,
	WorkerMemoryMB:           7904,
}

// derwentNetwork is the part of the same file that configures connections, with the keys of the settings.
const derwentNetwork = `{"failureDomains":["collins-st"],"kinds":["big-box","small-box"],` +
	`"classes":[{"name":"quote"},{"name":"extend"},{"name":"charge"}],` +
	`"accounts":[{"name":"hobart-city"},{"name":"launceston"},{"name":"devonport"}],` +
	`"specifics":{"memoryMbByKind":[9088,6720]},` +
	`"limits":{"dialTimeoutMs":250,"keepaliveMs":30000,"maxOpen":20000,"streamsPerConn":100}}`

// flagSettings sets only the settings that have their zero value in derwent.json.
const flagSettings = `{"zone": 2, "countedBy": "work", "membershipMode": "subscribe", "limits": {"peers": true, "secondCopies": true},
	"specifics": {"ifCold": "miss"}, "classes": [{"semantics": "safe", "group": "zone", "streamed": true, "aimStretch": 1.5},
	{"semantics": "unsafe", "group": "cell"}, {"semantics": "keyed"}]}`

// flagPolicy is the policy configuration of flagSettings.
var flagPolicy = policy.Config{
	Zone:               2,
	WeightByWork:       true,
	EndpointsByPolling: true,
	GossipSupported:    true,
	HedgingAllowed:     true,
	OverQuotaWeight:    1,
	MissWhenNotLoaded:  true,
	Classes: []policy.Class{
		{Idempotency: policy.Idempotent, DeduplicationScope: policy.DeduplicatedInZone, Streamed: true, ObjectiveStretch: 1.5},
		{Idempotency: policy.NotIdempotent, DeduplicationScope: policy.DeduplicatedInCell},
		{Idempotency: policy.IdempotentWithKey, DeduplicationScope: policy.DeduplicatedInCell},
	},
}

// The platform writes the settings, so their keys are a fixed interface: each key must set the same field, whatever the
// name of the field is.
func TestEverySettingReachesItsField(t *testing.T) {
	derwent, err := json.Marshal(deployments[1].settings(t))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, settings string
		want           policy.Config
	}{{"derwent", string(derwent), derwentPolicy}, {"flags", flagSettings, flagPolicy}} {
		t.Run(c.name, func(t *testing.T) {
			got, err := simulator.ParseSettings([]byte(c.settings))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("settings differ (-want +got):\n%s", diff)
			}
		})
	}
	var network config.Network
	if err := json.Unmarshal(derwent, &network); err != nil {
		t.Fatal(err)
	}
	got, err := json.Marshal(network)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(derwentNetwork, string(got)); diff != "" {
		t.Errorf("network settings differ (-want +got):\n%s", diff)
	}
}

// Each field of the policy's configuration is set in one of the two tables. Otherwise the setting for it could be lost
// without a failing test.
func TestSettingsTablesCoverEveryField(t *testing.T) {
	checkFields(t, reflect.ValueOf(derwentPolicy), reflect.ValueOf(flagPolicy))
	for _, class := range [][2]policy.Class{{derwentPolicy.Classes[1], flagPolicy.Classes[0]}} {
		checkFields(t, reflect.ValueOf(class[0]), reflect.ValueOf(class[1]))
	}
}

func checkFields(t *testing.T, a, b reflect.Value) {
	t.Helper()
	for i := range a.NumField() {
		if a.Field(i).IsZero() && b.Field(i).IsZero() {
			t.Errorf("%s.%s is set in neither table", a.Type().Name(), a.Type().Field(i).Name)
		}
	}
}
