package route

import (
	"fmt"
	"strings"
	"time"

	"crankhold/policy"
)

// PolicySpec restricts what the platform's settings allow. A count that is Unset adds no restriction.
type PolicySpec struct {
	Name                    string
	MaxAttempts             int           // including the first one
	RetriesAfterPossibleRun int           // retries after an attempt that may have run
	RetriesAfterProvenNoRun int           // retries after an attempt that provably never ran
	AttemptTimeout          time.Duration // 0: until the request's deadline
	HedgeDelay              time.Duration // delay of the hedged request; 0: no hedged request
	LatencyObjective        time.Duration // 0: the latency objective of the class
	At                      string        // file:line
}

// NoPolicy is the policy of a route that names none.
var NoPolicy = PolicySpec{MaxAttempts: Unset, RetriesAfterPossibleRun: Unset, RetriesAfterProvenNoRun: Unset}

// Effective returns the policy without the settings that have no effect. notIdempotent selects the policy for a class
// that is not idempotent: such a class gets no retry after an attempt that may have run, and no hedged request, even if
// the policy allows them.
func (p PolicySpec) Effective(notIdempotent bool) PolicySpec {
	if p.MaxAttempts != Unset {
		maxRetries := p.MaxAttempts - 1
		if p.RetriesAfterPossibleRun >= maxRetries {
			p.RetriesAfterPossibleRun = Unset
		}
		if p.RetriesAfterProvenNoRun >= maxRetries {
			p.RetriesAfterProvenNoRun = Unset
		}
	}
	if notIdempotent {
		p.RetriesAfterPossibleRun = 0
		p.HedgeDelay = 0
	}
	return p
}

// requestPolicy converts the policy to the type that the decision module takes.
func (p PolicySpec) requestPolicy() policy.RequestPolicy {
	return policy.RequestPolicy{
		MaxAttempts:             max(p.MaxAttempts, 0),
		RetriesAfterPossibleRun: p.RetriesAfterPossibleRun,
		RetriesAfterProvenNoRun: p.RetriesAfterProvenNoRun,
		AttemptTimeout:          p.AttemptTimeout,
		HedgeDelay:              p.HedgeDelay,
		LatencyObjective:        p.LatencyObjective,
	}
}

// String lists the policy's restrictions in the words of the routes language.
func (p PolicySpec) String() string {
	var parts []string
	addCount := func(name string, count int) {
		if count != Unset {
			parts = append(parts, fmt.Sprintf("%s %d", name, count))
		}
	}
	addTime := func(name string, span time.Duration) {
		if span > 0 {
			parts = append(parts, name+" "+span.String())
		}
	}
	addCount("attempts", p.MaxAttempts)
	addCount("again-if-ran", p.RetriesAfterPossibleRun)
	addCount("again-if-not-ran", p.RetriesAfterProvenNoRun)
	addTime("attempt-time", p.AttemptTimeout)
	addTime("second-copy-after", p.HedgeDelay)
	addTime("aim", p.LatencyObjective)
	if len(parts) == 0 {
		return "attempts as the settings allow"
	}
	return strings.Join(parts, ", ")
}
