package policy

import (
	"errors"
	"fmt"
	"math"
	"testing"
)

// Guards the names under which states and outcomes are logged.
func TestStringMethods(t *testing.T) {
	for _, c := range []struct {
		value fmt.Stringer
		want  string
	}{
		{Served, "served"}, {Failed, "failed"}, {Overloaded, "overloaded"}, {TimedOut, "timed_out"},
		{Unreachable, "unreachable"}, {ConnectionReset, "connection_reset"}, {Canceled, "canceled"}, {NotSent, "not_sent"},
		{NotLoaded, "not_loaded"}, {ProcessReplaced, "process_replaced"}, {Saturated, "saturated"}, {Outcome(11), "Outcome(11)"},
		{Gone, "gone"}, {Ready, "ready"}, {Draining, "draining"}, {WorkerState(3), "WorkerState(3)"},
		{LoadStatusUnknown, "unknown"}, {AlreadyLoaded, "already loaded"}, {StartedLoad, "started load"},
		{WaitedForLoad, "waited for load"}, {LoadFailed, "load failed"}, {LoadStatus(5), "LoadStatus(5)"},
		{Idempotent, "idempotent"}, {IdempotentWithKey, "idempotent with key"}, {NotIdempotent, "not idempotent"},
		{Idempotency(3), "Idempotency(3)"},
		{DeduplicatedEverywhere, "everywhere"}, {DeduplicatedInZone, "zone"}, {DeduplicatedInCell, "cell"},
		{DeduplicationScope(3), "DeduplicationScope(3)"},
		{EndpointDelta, "delta"}, {EndpointSnapshot, "snapshot"}, {CachedEndpointSnapshot, "cached snapshot"},
		{EndpointListFailed, "failed"}, {EndpointListKind(4), "EndpointListKind(4)"},
	} {
		if got := c.value.String(); got != c.want {
			t.Errorf("%T %d is %q, want %q", c.value, c.value, got, c.want)
		}
	}
}

// A ConfigError tells which class or setting is invalid.
func TestConfigErrorNamesTheSetting(t *testing.T) {
	for name, c := range map[string]struct {
		modify  func(*Config)
		class   int
		setting string
	}{
		"no classes":                  {func(c *Config) { c.Classes = nil }, NoClass, "Classes"},
		"a negative tick":             {func(c *Config) { c.Tick = -1 }, NoClass, "Tick"},
		"a share above 1":             {func(c *Config) { c.SlowStartInitialCapacity = 1.5 }, NoClass, "SlowStartInitialCapacity"},
		"infinite":                    {func(c *Config) { c.LoadBudgetRatio = math.Inf(1) }, NoClass, "LoadBudgetRatio"},
		"not a number":                {func(c *Config) { c.OverloadMultiple = math.NaN() }, NoClass, "OverloadMultiple"},
		"the last class":              {func(c *Config) { c.Classes[2].Deadline = 0 }, 2, ""},
		"a class and another setting": {func(c *Config) { c.Classes[1].LatencyObjective, c.Tick = 0, -1 }, 1, ""},
	} {
		cfg := config()
		c.modify(&cfg)
		_, err := New(cfg, 1)
		configErr := (*ConfigError)(nil)
		if !errors.As(err, &configErr) || configErr.Class != c.class || configErr.Setting != c.setting {
			t.Errorf("%s: %v, want an error of class %d, setting %q", name, err, c.class, c.setting)
		}
	}
}
