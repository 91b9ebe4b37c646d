package workerclient

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
	"time"

	"crankhold/internal/golden"
	"crankhold/internal/router"
	"crankhold/policy"
)

// The responses were written by hand from the protocol's definition, so that this package does not encode what it decodes.
const (
	goldenResponses = "testdata/answers.txt"
	goldenMessages  = "testdata/messages.txt"
)

type loadResult struct {
	commandID uint64
	outcome   policy.Outcome
	replicas  int
}

type healthCheckResult struct {
	commandID uint64
	outcome   policy.Outcome
	report    []float64
}

// decodedResults records everything that responses decode to.
type decodedResults struct {
	attempts     []router.Attempt
	results      []router.AttemptResult
	loads        []loadResult
	healthChecks []healthCheckResult
}

func (r *decodedResults) AttemptCompleted(a router.Attempt, result router.AttemptResult) {
	r.attempts = append(r.attempts, a)
	r.results = append(r.results, result)
}

func (r *decodedResults) LoadCompleted(commandID uint64, outcome policy.Outcome, replicas int) {
	r.loads = append(r.loads, loadResult{commandID, outcome, replicas})
}

func (r *decodedResults) MaySendLoad(uint64) bool { return true }

func (r *decodedResults) HealthCheckCompleted(commandID uint64, outcome policy.Outcome, report []float64) {
	r.healthChecks = append(r.healthChecks, healthCheckResult{commandID, outcome, report})
}

// newGoldenPool returns a pool whose results are recorded, with workers that report two fields of use.
func newGoldenPool() (*testPool, *decodedResults) {
	p := newTestPool(func(cfg *Config) {
		cfg.ReportFields = []string{"inflight", "cpu"}
		cfg.MaxRequestsPerConnection = 32
	})
	results := &decodedResults{}
	p.Pool.results = results
	return p, results
}

// Compares every kind of message that is written to a worker with its golden form.
func TestGoldenMessagesToWorkers(t *testing.T) {
	p, _ := newGoldenPool()
	p.CheckHealth(1, 1)
	connection := p.transports[0]
	connection.handler.DialCompleted(nil)
	var messages []golden.Message
	recordMessage := func(label string, send func()) {
		connection.Written.Reset()
		send()
		messages = append(messages, golden.Message{Label: label, Bytes: bytes.Clone(connection.Written.Bytes())})
	}
	start := func(number int, r *router.Request, budget time.Duration) func() {
		return func() { p.StartAttempt(1, router.Attempt{Request: policy.RequestID(number)}, r, budget) }
	}

	recordMessage("RUN", start(1, newRequest("0000000000000001"), 1234900*time.Microsecond))
	withIdempotencyKey := newRequest("0000000000000002")
	withIdempotencyKey.IdempotencyKey = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
	recordMessage("RUN with uniq", start(2, withIdempotencyKey, time.Second))
	recordMessage("RUN with less than a millisecond left", start(3, newRequest("0000000000000003"), time.Microsecond))
	recordMessage("nothing for a RUN with no time left", start(4, newRequest("0000000000000004"), -time.Second))
	emptyBody := newRequest("0000000000000005")
	emptyBody.Body = nil
	recordMessage("RUN with an empty body", start(5, emptyBody, time.Second))
	binaryBody := newRequest("0000000000000006")
	binaryBody.Body = []byte("\x00\r\n$3\r\n\xff")
	recordMessage("RUN with a binary body", start(6, binaryBody, time.Second))
	recordMessage("STOP", func() { p.CancelAttempt(1, router.Attempt{Request: 1}) })
	recordMessage("HOLD with a count", func() { p.Load(1, 0x7f3a9c21e0b4d655, 12, 9) })
	recordMessage("HOLD with count 0", func() { p.Load(1, 5, 0, 18446744073709551615) })
	recordMessage("FREE", func() { p.Unload(1, 0xaa) })
	recordMessage("INFO", func() { p.CheckHealth(1, 7) })
	recordMessage("NOOP", func() { p.Maintain(time.Second) })
	if len(p.transports) != 1 || connection.Closed {
		t.Errorf("%d connections, the first closed: %v", len(p.transports), connection.Closed)
	}
	messages = append(messages,
		golden.Message{Label: "INFO sent again after a reset", Bytes: healthCheckAfterReset()},
		golden.Message{Label: "NOOP of a recovery dial", Bytes: openRecoveryDial(t).Written.Bytes()})
	golden.CompareMessages(t, goldenMessages, messages)
}

// healthCheckAfterReset returns what is written over the second connection of a health check whose first connection was
// reset.
func healthCheckAfterReset() []byte {
	p, _ := newGoldenPool()
	p.CheckHealth(1, 7)
	p.transports[0].handler.DialCompleted(nil)
	p.transports[0].handler.Closed(errors.New("reset"))
	p.transports[1].handler.DialCompleted(nil)
	return p.transports[1].Written.Bytes()
}

// openRecoveryDial returns the connection of a recovery dial that has succeeded.
func openRecoveryDial(t *testing.T) *fakeTransport {
	t.Helper()
	p := newTestPoolWithTwoAddresses()
	p.StartAttempt(7, attempt, newRequest(requestID), time.Second)
	p.transports[0].handler.DialCompleted(errors.New("refused"))
	p.transports[1].handler.DialCompleted(nil)
	for now := time.Duration(0); len(p.transports) < 3 && now < time.Minute; now += MaintenanceInterval {
		p.Maintain(now)
	}
	if len(p.transports) < 3 {
		t.Fatal("no recovery dial was started")
	}
	p.transports[2].handler.DialCompleted(nil)
	return p.transports[2]
}

// Decodes every form of response to a request, and compares the whole result.
func TestGoldenResponsesToRequests(t *testing.T) {
	result := []byte("result")
	for _, test := range []struct {
		label string
		want  router.AttemptResult
	}{
		{"HIT with every field", router.AttemptResult{Outcome: policy.Served, LoadStatus: policy.AlreadyLoaded, Concurrency: 3, Body: result, LoadReport: []float64{7, 0.25}}},
		{"HIT without fields", router.AttemptResult{Outcome: policy.Served, Body: result}},
		{"HIT with an empty body", router.AttemptResult{Outcome: policy.Served, LoadStatus: policy.AlreadyLoaded, Body: []byte{}}},
		{"HIT with a binary body", router.AttemptResult{Outcome: policy.Served, LoadStatus: policy.AlreadyLoaded, Body: []byte("\x00\r\n$3\r\n\xff")}},
		{"HIT after a load began", router.AttemptResult{Outcome: policy.Served, LoadStatus: policy.StartedLoad, Body: result}},
		{"HIT after waiting for a load", router.AttemptResult{Outcome: policy.Served, LoadStatus: policy.WaitedForLoad, Body: result}},
		{"HIT with an unknown detail", router.AttemptResult{Outcome: policy.Served, Body: result}},
		{"HIT with a use report in another order", router.AttemptResult{Outcome: policy.Served, Body: result, LoadReport: []float64{2, 0.5}}},
		{"HIT with a use report that lacks a field", router.AttemptResult{Outcome: policy.Served, Body: result}},
		{"HIT with a malformed use report", router.AttemptResult{Outcome: policy.Served, Body: result}},
		{"HIT with a crowd that is no number", router.AttemptResult{Outcome: policy.Served, Body: result}},
		{"HIT with the largest crowd", router.AttemptResult{Outcome: policy.Served, Concurrency: 1 << 20, Body: result}},
		{"HIT with a crowd over the limit", router.AttemptResult{Outcome: policy.Served, Body: result}},
		{"NONE", router.AttemptResult{Outcome: policy.NotLoaded, Body: []byte{}, LoadReport: []float64{1, 1}}},
		{"SHED", router.AttemptResult{Outcome: policy.Overloaded, Concurrency: 12, Body: []byte{}, LoadReport: []float64{9, 0.75}}},
		{"LATE", router.AttemptResult{Outcome: policy.NotSent, Body: []byte{}}},
		{"FAULT", router.AttemptResult{Outcome: policy.Failed, LoadStatus: policy.LoadFailed, Body: []byte("reason")}},
	} {
		t.Run(test.label, func(t *testing.T) {
			p, record := newGoldenPool()
			p.StartAttempt(1, attempt, newRequest(requestID), time.Second)
			connection := p.transports[0]
			connection.handler.DialCompleted(nil)
			connection.handler.Data(golden.FindMessage(t, goldenResponses, test.label))
			want := &decodedResults{attempts: []router.Attempt{attempt}, results: []router.AttemptResult{test.want}}
			if !reflect.DeepEqual(record, want) || connection.Closed {
				t.Errorf("decoded %+v, closed %v, want %+v", record, connection.Closed, want)
			}
		})
	}
}

// Decodes every response to a load command.
func TestGoldenResponsesToLoadCommands(t *testing.T) {
	for _, test := range []struct {
		label string
		want  loadResult
	}{
		{"HOLD answered by HIT", loadResult{9, policy.Served, 2}},
		{"HOLD answered by HIT without a count", loadResult{9, policy.Served, 0}},
		{"HOLD answered by SHED", loadResult{9, policy.Overloaded, 1}},
		{"HOLD answered by NONE", loadResult{9, policy.NotLoaded, 0}},
		{"HOLD answered by FAULT", loadResult{9, policy.Failed, 0}},
		{"HOLD answered by LATE", loadResult{9, policy.NotSent, 0}},
	} {
		p, record := newGoldenPool()
		p.Load(1, 5, 2, 9)
		connection := p.transports[0]
		connection.handler.DialCompleted(nil)
		connection.handler.Data(golden.FindMessage(t, goldenResponses, test.label))
		if want := (&decodedResults{loads: []loadResult{test.want}}); !reflect.DeepEqual(record, want) || connection.Closed {
			t.Errorf("%s: decoded %+v, closed %v, want %+v", test.label, record, connection.Closed, want)
		}
	}
}

// Decodes every response to a health check.
func TestGoldenResponsesToHealthChecks(t *testing.T) {
	for _, test := range []struct {
		label string
		want  healthCheckResult
	}{
		{"INFO answered by PONG", healthCheckResult{7, policy.Served, []float64{3, 0.5}}},
		{"INFO answered by PONG without a report", healthCheckResult{7, policy.Served, nil}},
		{"INFO answered by SICK", healthCheckResult{7, policy.Failed, []float64{3, 1}}},
		{"INFO answered by SICK without a report", healthCheckResult{7, policy.Failed, nil}},
	} {
		p, record := newGoldenPool()
		p.CheckHealth(1, 7)
		connection := p.transports[0]
		connection.handler.DialCompleted(nil)
		connection.handler.Data(golden.FindMessage(t, goldenResponses, test.label))
		if want := (&decodedResults{healthChecks: []healthCheckResult{test.want}}); !reflect.DeepEqual(record, want) || connection.Closed {
			t.Errorf("%s: decoded %+v, closed %v, want %+v", test.label, record, connection.Closed, want)
		}
	}
}

// The response to a NOOP shows that its connection works, and completes no other command on it.
func TestGoldenResponsesToKeepalivePings(t *testing.T) {
	for _, label := range []string{"NOOP answered by PONG", "NOOP answered by SICK"} {
		p, record := newGoldenPool()
		p.StartAttempt(1, attempt, newRequest(requestID), time.Second)
		connection := p.transports[0]
		connection.handler.DialCompleted(nil)
		p.Maintain(time.Second)
		owner := p.workers[1].connections[0]
		pingedAt := owner.liveness.pingedAt
		connection.handler.Data(golden.FindMessage(t, goldenResponses, label))
		if pingedAt == 0 || owner.liveness.pingedAt != 0 || len(owner.commands.inFlight) != 1 {
			t.Errorf("%s: pinged at %v, then %v, with %d in flight", label, pingedAt, owner.liveness.pingedAt, len(owner.commands.inFlight))
		}
		if !reflect.DeepEqual(record, &decodedResults{}) || connection.Closed {
			t.Errorf("%s: decoded %+v, closed %v", label, record, connection.Closed)
		}
	}
	connection := openRecoveryDial(t)
	worker := connection.handler.(*recoveryDial).worker
	unavailable := worker.addresses.UnavailableCount()
	connection.handler.Data(golden.FindMessage(t, goldenResponses, "NOOP of a recovery dial answered by PONG"))
	if unavailable != 1 || worker.addresses.UnavailableCount() != 0 || !connection.Closed {
		t.Errorf("recovery dial: %d addresses unavailable before, %d after, closed %v", unavailable, worker.addresses.UnavailableCount(), connection.Closed)
	}
}

// A response that violates the protocol closes its connection, is counted by its violation and completes no request. A
// response to an unknown id is ignored.
func TestGoldenMalformedResponses(t *testing.T) {
	for _, test := range []struct {
		label      string
		violations []Violation // none if the connection stays open
	}{
		{"response to an unknown id", nil},
		{"status in lower case", []Violation{UnknownStatus}},
		{"unknown status", []Violation{UnknownStatus}},
		{"PONG to a request", []Violation{MismatchedStatus}},
		{"SICK to a request", []Violation{MismatchedStatus}},
		{"INFO answered by PONG", nil}, // no health check is in flight here
		{"response of one element", []Violation{UnexpectedArrayLength}},
		{"response of no element", []Violation{UnexpectedArrayLength}},
		{"response of nine elements", []Violation{UnexpectedArrayLength}},
		{"response without its type", []Violation{UnexpectedType}},
		{"length that is no number", []Violation{InvalidLength}},
		{"negative length", []Violation{InvalidLength}},
		{"line without a carriage return", []Violation{InvalidLength}},
		{"HIT without a body", []Violation{UnexpectedArrayLength}},
		{"HIT of two elements", []Violation{UnexpectedArrayLength}},
		{"INFO answered by PONG of two elements", []Violation{UnexpectedArrayLength}},
		{"NOOP answered by PONG of two elements", []Violation{UnexpectedArrayLength}},
		{"NOOP answered by SICK of two elements", []Violation{UnexpectedArrayLength}},
		{"NOOP of a recovery dial answered by PONG of two elements", []Violation{UnexpectedArrayLength}},
		{"response of five elements", []Violation{UnexpectedArrayLength}},
		{"id that is longer than its length, of two elements", []Violation{UnexpectedArrayLength}},
		{"id that is longer than its length", []Violation{MissingLineEnd}},
		{"HIT with a line end in its fields", []Violation{InvalidFields}},
		{"HIT, then a line", []Violation{TrailingData}},
		{"length over the limit", []Violation{InvalidLength}},
	} {
		p, record := newGoldenPool()
		p.StartAttempt(1, attempt, newRequest(requestID), time.Second)
		connection := p.transports[0]
		connection.handler.DialCompleted(nil)
		connection.handler.Data(golden.FindMessage(t, goldenResponses, test.label))
		if !reflect.DeepEqual(record, &decodedResults{}) || connection.Closed != (len(test.violations) > 0) {
			t.Errorf("%s: decoded %+v, closed %v", test.label, record, connection.Closed)
		}
		var want [violationCount]uint64
		for _, violation := range test.violations {
			want[violation]++
		}
		if p.Counters.MalformedResponses != want {
			t.Errorf("%s: counted %v, want %v", test.label, p.Counters.MalformedResponses, want)
		}
	}
}
