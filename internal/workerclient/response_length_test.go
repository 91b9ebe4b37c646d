package workerclient

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"crankhold/internal/router"
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

// Guards against a body that loses its beginning: fields whose length is too large took it up to a line end, and what the
// body itself has in the form of a further element was served.
func TestFieldsThatHoldTheStartOfTheBodyAreMalformed(t *testing.T) {
	const body = "$3\r\nabc"
	response := [responseElements]string{requestID, "HIT", "detail=hot", body}
	swallowed := len("\r\n$8") // the line end of the fields and the length of the body
	p := newTestPool()
	p.StartAttempt(1, attempt, newRequest(requestID), time.Minute)
	p.transports[0].handler.DialCompleted(nil)
	p.transports[0].handler.Data(encodeWithWrongLength(response, fieldsElement, swallowed))
	if len(p.recorder.outcomes[attempt]) > 0 || !p.transports[0].Closed {
		t.Errorf("outcomes %v, served with %q", p.recorder.outcomes[attempt], p.recorder.results[attempt].Body)
	}
}

// Guards against a recovery dial that takes an address for one that works after a response that can't be read, or that
// needs its response in one read.
func TestRecoveryDialReadsItsResponseAsOtherConnections(t *testing.T) {
	response := [responseElements]string{recoveryPingID, "PONG", "-", ""}
	whole := encodeWithWrongLength(response, bodyElement, 0)
	for cut := range whole {
		transport := openRecoveryDial(t)
		worker := transport.handler.(*recoveryDial).worker
		transport.handler.Data(whole[:cut])
		transport.handler.Data(whole[cut:])
		if worker.addresses.UnavailableCount() != 0 || !transport.Closed {
			t.Errorf("response cut after %d bytes: the address is still unavailable", cut)
		}
	}
	forEachWrongLength(func(wrong, delta int) {
		spoilt := encodeWithWrongLength(response, wrong, delta)
		transport := openRecoveryDial(t)
		worker := transport.handler.(*recoveryDial).worker
		transport.handler.Data(spoilt)
		if worker.addresses.UnavailableCount() != 1 {
			t.Errorf("%q: the address counts as one that works", spoilt)
		}
	})
	transport := openRecoveryDial(t)
	worker := transport.handler.(*recoveryDial).worker
	transport.handler.Data(encodeResponse(recoveryPingID, "HIT", ""))
	if worker.addresses.UnavailableCount() != 1 || !transport.Closed {
		t.Error("a HIT in response to a NOOP shows that the address works")
	}
}

// Guards against a good response that is held back or dropped because of what stands behind it: a second copy, one to an
// unknown id, the start of the next one, or a spoilt one to another request in flight.
func TestResponseBeforeAnotherIsServed(t *testing.T) {
	const other = "00000000000000ff"
	for name, behind := range map[string]string{
		"nothing":                           "",
		"a second copy":                     string(encodeResponse(requestID, "HIT", "result")),
		"an unknown id":                     string(encodeResponse("ahead", "HIT", "x")),
		"the next response":                 string(encodeResponse(other, "HIT", "x")),
		"the start of the next":             string(encodeResponse(other, "HIT", "x")[:7]),
		"a spoilt response":                 "*3\r\n$16\r\n" + other + "\r\n$3\r\nHIT\r\n$1\r\n-\r\n$1\r\nx\r\n",
		"a copy, then a spoilt one":         string(encodeResponse(requestID, "HIT", "result")) + "*5\r\n$16\r\n" + other + "\r\n",
		"a response that claims 3 GB":       "*4\r\n$16\r\n" + other + "\r\n$3\r\nHIT\r\n$3221225472\r\n",
		"a response with an unknown status": "*4\r\n$16\r\n" + other + "\r\n$3\r\nHAT\r\n",
		"a response with malformed fields":  "*4\r\n$16\r\n" + other + "\r\n$3\r\nHIT\r\n$4\r\n-\r\n$\r\n",
	} {
		p := newTestPool()
		p.StartAttempt(1, attempt, newRequest(requestID), time.Minute)
		p.StartAttempt(1, router.Attempt{Request: 2}, newRequest(other), time.Minute)
		p.transports[0].handler.DialCompleted(nil)
		p.transports[0].handler.Data(append(encodeResponse(requestID, "HIT", "result"), behind...))
		if got := p.recorder.outcomes[attempt]; !slices.Equal(got, []policy.Outcome{policy.Served}) {
			t.Errorf("%s behind a response: outcomes %v", name, got)
		}
	}
}

// Guards against a response that is served although what stands behind it in the same read is no response, so that its
// body may be a part of the one that its worker made.
func TestResponseBeforeOtherDataIsNotServed(t *testing.T) {
	for _, behind := range []string{
		"rest\r\n", "\r\n", "$3\r\nabc\r\n", "*-4\r\n", "*9\r\n", "*3\r\n$3\r\nabc\r\n", "\x00",
		string(encodeResponse(requestID, "HIT", "result")) + "rest\r\n", // the body holds a response to its own request
		string(encodeResponse("unknown", "HIT", "x")) + "rest\r\n",
	} {
		p := newTestPool()
		p.StartAttempt(1, attempt, newRequest(requestID), time.Minute)
		p.transports[0].handler.DialCompleted(nil)
		p.transports[0].handler.Data(append(encodeResponse(requestID, "HIT", "result"), behind...))
		if len(p.recorder.outcomes[attempt]) > 0 || !p.transports[0].Closed {
			t.Errorf("%q behind a response: outcomes %v", behind, p.recorder.outcomes[attempt])
		}
		if p.transports[0].handler.Closed(errors.New("closed")); len(transportsWithRun(p.transports, requestID)) != 1 {
			t.Errorf("%q behind a response: the request was sent again", behind)
		}
	}
}
