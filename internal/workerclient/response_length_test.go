package workerclient

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"crankhold/policy"
)

// arrayLength is the position of the length of a response's array; those of its elements have their own positions.
const arrayLength = -1

// encodeWithWrongLength returns a response in which one length, that of the array or of an element, is off by delta.
func encodeWithWrongLength(elements [responseElements]string, wrong, delta int) []byte {
	count := len(elements)
	if wrong == arrayLength {
		count += delta
	}
	encoded := fmt.Appendf(nil, "*%d\r\n", count)
	for position, element := range elements {
		length := len(element)
		if position == wrong {
			length += delta
		}
		encoded = fmt.Appendf(encoded, "$%d\r\n%s\r\n", length, element)
	}
	return encoded
}

// lengthTest is a command with a response to it.
type lengthTest struct {
	send     func(p *testPool)
	outcomes func(p *testPool) []policy.Outcome
	response [responseElements]string
	want     []policy.Outcome // once the connection has ended
}

// lengthTests returns every status of every command. A health check is sent again when its connection has ended.
func lengthTests() (tests []lengthTest) {
	add := func(
		id string, send func(p *testPool), outcomes func(p *testPool) []policy.Outcome, want []policy.Outcome,
		statuses ...string,
	) {
		for _, status := range statuses {
			for _, body := range []string{"", "a body of a worker"} {
				response := [responseElements]string{id, status, "detail=hot,use=inflight:7", body}
				tests = append(tests, lengthTest{send, outcomes, response, want})
			}
		}
	}
	ofAttempt := func(p *testPool) []policy.Outcome { return p.recorder.outcomes[attempt] }
	ofCommand := func(p *testPool) []policy.Outcome { return p.recorder.commandOutcomes[9] }
	reset := []policy.Outcome{policy.ConnectionReset}
	add(requestID, func(p *testPool) { p.StartAttempt(1, attempt, newRequest(requestID), time.Minute) }, ofAttempt, reset,
		"HIT", "NONE", "SHED", "FAULT", "LATE")
	add("h9", func(p *testPool) { p.Load(1, 5, 2, 9) }, ofCommand, reset, "HIT", "SHED", "FAULT")
	add("p9", func(p *testPool) { p.CheckHealth(1, 9) }, ofCommand, nil, "PONG", "SICK")
	return tests
}

// forEachWrongLength calls visit for each length of a response, with values that are too small and too large. Lengths
// of an element can't be below 0; the last value claims 3 GB.
func forEachWrongLength(visit func(wrong, delta int)) {
	for wrong := arrayLength; wrong < responseElements; wrong++ {
		for delta := -8; delta <= 12; delta++ {
			if delta != 0 {
				visit(wrong, delta)
			}
		}
		visit(wrong, 3<<30)
	}
}

// Guards against a response that is taken for whole although one of its lengths does not fit: its command then completed
// with a body, or a result, that no worker had sent (an array of three elements counted as a response without a body).
func TestResponseWithAWrongLengthCompletesNothing(t *testing.T) {
	for _, test := range lengthTests() {
		forEachWrongLength(func(wrong, delta int) {
			spoilt := encodeWithWrongLength(test.response, wrong, delta)
			for cut := range spoilt {
				p := newTestPool()
				test.send(p)
				transport := p.transports[0]
				transport.handler.DialCompleted(nil)
				transport.handler.Data(spoilt[:cut])
				transport.handler.Data(spoilt[cut:])
				p.checkNothingCompleted(t, test, spoilt)
			}
		})
	}
}

// checkNothingCompleted fails the test unless the first connection is closed, at once or as stalled, and its command
// completes only then.
func (p *testPool) checkNothingCompleted(t *testing.T, test lengthTest, spoilt []byte) {
	t.Helper()
	transport := p.transports[0]
	if got := test.outcomes(p); len(got) > 0 {
		t.Fatalf("%q completed its command: %v", spoilt, got)
	}
	for now := time.Duration(0); !transport.Closed && now <= 2*partialResponseTimeout; now += MaintenanceInterval {
		p.Maintain(now)
	}
	if !transport.Closed {
		t.Fatalf("%q: the connection is still open", spoilt)
	}
	transport.handler.Closed(nil)
	if got := test.outcomes(p); !slices.Equal(got, test.want) {
		t.Fatalf("%q: outcomes %v, want %v", spoilt, got, test.want)
	}
	if runs := transportsWithRun(p.transports, requestID); len(runs) > 1 {
		t.Fatalf("%q: the request was sent over connections %v", spoilt, runs)
	}
}
