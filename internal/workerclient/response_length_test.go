package workerclient

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

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

// bodyTokens are the parts of drawn bodies: what RESP gives a meaning to, and other bytes. The type of an array is not
// among them, because a body that holds the start of a response can't be told from a response.
var bodyTokens = rapid.SampledFrom([]string{"\r\n", "\r", "\n", "$", "3", "$3\r\n", "HIT", "-", "a", "\x00", "\xff"})

// lengthProperty is a pool with requests in flight on one connection, and the responses of its worker.
type lengthProperty struct {
	*testPool
	bodies    []string // by request
	responses [][]byte // by request; one may be spoilt
	spoilt    int      // index of the request whose response has a wrong length
	wrong     int      // position of that length
	idLegible bool     // the id of that response can be read
}

// drawLengthProperty draws responses, one of which has a wrong length.
func drawLengthProperty(t *rapid.T, body *rapid.Generator[string]) *lengthProperty {
	l := &lengthProperty{testPool: newTestPool(func(cfg *Config) { cfg.MaxRequestsPerConnection = 32 })}
	requests := rapid.IntRange(1, 3).Draw(t, "requests")
	for i := range requests {
		l.StartAttempt(1, router.Attempt{Request: policy.RequestID(i)}, newRequest(modelRequestID(i)), time.Minute)
		l.bodies = append(l.bodies, body.Draw(t, "body"))
		l.responses = append(l.responses, encodeResponse(modelRequestID(i), "HIT", l.bodies[i]))
	}
	l.transports[0].handler.DialCompleted(nil)
	l.spoilt = rapid.IntRange(0, requests-1).Draw(t, "spoilt")
	l.wrong = rapid.IntRange(arrayLength, bodyElement).Draw(t, "wrong length")
	response := [responseElements]string{modelRequestID(l.spoilt), "HIT", "-", l.bodies[l.spoilt]}
	delta := wrongLengths(l.bodies[l.spoilt]).Draw(t, "delta")
	l.responses[l.spoilt] = encodeWithWrongLength(response, l.wrong, delta)
	negativeArray := l.wrong == arrayLength && delta < -responseElements
	l.idLegible = l.wrong != idElement && !negativeArray
	return l
}

// wrongLengths draws by how much a length of a response with that body is off. In every second draw it is one with which
// the body ends at a line end within it, if there is one.
func wrongLengths(body string) *rapid.Generator[int] {
	anyLength := rapid.IntRange(-len(body)-4, 30).Filter(func(delta int) bool { return delta != 0 })
	var lineEnds []int
	for i := range body {
		if strings.HasPrefix(body[i:], "\r\n") {
			lineEnds = append(lineEnds, i-len(body))
		}
	}
	if len(lineEnds) == 0 {
		return anyLength
	}
	return rapid.OneOf(rapid.SampledFrom(lineEnds), anyLength)
}

// check fails the test if a request was served with another body than its worker's, or the spoilt response was used.
func (l *lengthProperty) check(t *rapid.T) {
	for i, body := range l.bodies {
		a := router.Attempt{Request: policy.RequestID(i)}
		switch outcomes := l.recorder.outcomes[a]; {
		case len(outcomes) == 0:
		case i == l.spoilt, len(outcomes) > 1, string(l.recorder.results[a].Body) != body:
			t.Fatalf("request %d: outcomes %v, body %q, made by its worker: %q", i, outcomes, l.recorder.results[a].Body, body)
		}
	}
}

// Guards against a body that ends early, at a line end within it, because its length is too small: the rest of it, which
// is no response, stands in the same read. What is served is what a worker framed, byte for byte, with the responses to
// other requests before and behind a spoilt one. A response before it is served if the id behind it can be read.
func TestServedBodiesAreWhatWorkersFramed(t *testing.T) {
	body := rapid.Custom(func(t *rapid.T) string {
		return string(bytes.Join(toBytes(rapid.SliceOfN(bodyTokens, 0, 12).Draw(t, "tokens")), nil))
	})
	rapid.Check(t, func(t *rapid.T) {
		l := drawLengthProperty(t, body)
		l.transports[0].handler.Data(bytes.Join(l.responses, nil))
		l.check(t)
		if !l.idLegible {
			return
		}
		for i := range l.spoilt {
			if len(l.recorder.outcomes[router.Attempt{Request: policy.RequestID(i)}]) != 1 {
				t.Fatalf("request %d, whose response is whole and before the spoilt one, was not served", i)
			}
		}
	})
}

func toBytes(tokens []string) (parts [][]byte) {
	for _, token := range tokens {
		parts = append(parts, []byte(token))
	}
	return parts
}

// The same with reads that end anywhere. Nothing follows a spoilt response, because its connection is of no further use,
// and no body has a line end: a read that ends there can't be told from the end of the body.
func TestServedBodiesAreWhatWorkersFramedInAnyReads(t *testing.T) {
	body := rapid.Map(rapid.SliceOfN(rapid.Byte().Filter(func(b byte) bool { return b != '\n' }), 0, 40),
		func(b []byte) string { return string(b) })
	rapid.Check(t, func(t *rapid.T) {
		l := drawLengthProperty(t, body)
		data := bytes.Join(l.responses[:l.spoilt+1], nil)
		for len(data) > 0 {
			n := rapid.IntRange(1, len(data)).Draw(t, "read")
			l.transports[0].handler.Data(data[:n])
			data = data[n:]
		}
		l.check(t)
	})
}

// Guards against a good response that is held back or dropped because of what stands behind it: a second copy, one to an
// unknown id, the start of the next one, or a spoilt one to another request in flight.
func TestResponseBeforeAnotherIsServed(t *testing.T) {
	const other = "00000000000000ff"
	for name, behind := range map[string]string{
		"nothing":                          "",
		"a second copy":                    string(encodeResponse(requestID, "HIT", "result")),
		"an unknown id":                    string(encodeResponse("ahead", "HIT", "x")),
		"the next response":                string(encodeResponse(other, "HIT", "x")),
		"the start of the next":            string(encodeResponse(other, "HIT", "x")[:7]),
		"a spoilt response":                "*3\r\n$16\r\n" + other + "\r\n$3\r\nHIT\r\n$1\r\n-\r\n$1\r\nx\r\n",
		"a copy, then a spoilt one":        string(encodeResponse(requestID, "HIT", "result")) + "*5\r\n$16\r\n" + other + "\r\n",
		"a response that claims 3 GB":      "*4\r\n$16\r\n" + other + "\r\n$3\r\nHIT\r\n$3221225472\r\n",
		"a response with an unknown word":  "*4\r\n$16\r\n" + other + "\r\n$3\r\nHAT\r\n",
		"a response with malformed fields": "*4\r\n$16\r\n" + other + "\r\n$3\r\nHIT\r\n$4\r\n-\r\n$\r\n",
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
