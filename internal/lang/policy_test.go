package lang

import (
	"testing"

	"crankhold/internal/route"
)

// A policy inherits each setting from the nearest policy in its chain that has the setting. A cycle of policies is
// reported.
func TestPoliciesInherit(t *testing.T) {
	blocks := parseBlocks(t, `policy "c" {
	like = "b"
	attempts = 4
}
policy "b" {
	like = "a"
	again-if-ran = 1
}
policy "a" {
	attempts = 3
	aim = 1s
}
policy "x" { like = "y" }
policy "y" { like = "x" }
`)
	context := builderContext{report: &reporter{}, symbols: newSymbolTable(true)}
	context.references = newReferenceResolver(context.report, context.symbols)
	builder := newPolicyBuilder(context, definitionLines{})
	for _, b := range blocks {
		context.symbols.define(b)
		builder.build(b)
	}
	builder.check()
	c := builder.byName["c"].spec()
	if c.MaxAttempts != 4 || c.RetriesAfterPossibleRun != 1 || c.RetriesAfterProvenNoRun != route.Unset || c.LatencyObjective.Seconds() != 1 {
		t.Errorf("policy %+v", c)
	}
	if origin := builder.byName["c"].effective[latencyObjectiveSetting].origin; origin != blocks[2] {
		t.Errorf("the latency objective is inherited from %s", origin.name)
	}
	context.report.sort()
	want := "f:1:1: policy \"c\" is not used by any route or policy\nf:13:21: policies are like each other in a circle: x > y > x"
	if got := context.report.faults.Error(); got != want {
		t.Errorf("faults\n%s\nwant\n%s", got, want)
	}
}
