package workerclient

import (
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

// requestModel sends attempts to one worker, over connections whose dials succeed or fail and which are reset, at
// random.
type requestModel struct {
	*testPool
	requests      int              // started so far
	outstanding   []router.Attempt // the latest attempt of each request
	dialCompleted map[*fakeTransport]bool
	lateResponses map[*fakeTransport]map[string]int // how many were sent over each connection, by request id
}

// TestEachRequestCompletesOnceWithItsOwnResult checks a random model of requests: every request completes once, with
// ConnectionReset only if it was written, and never by the response to an earlier attempt that was canceled.
func TestEachRequestCompletesOnceWithItsOwnResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &requestModel{
			testPool:      newTestPool(),
			dialCompleted: map[*fakeTransport]bool{},
			lateResponses: map[*fakeTransport]map[string]int{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"run":   m.start,
			"again": m.retry,
			"dial":  m.completeDial,
			"reset": m.reset,
			"drain": m.drain,
			"":      m.check,
		})
	})
}

func modelAttemptID(a router.Attempt) string { return fmt.Sprintf("%016x", int(a.Request)) }

func (m *requestModel) start(*rapid.T) {
	m.requests++
	m.send(router.Attempt{Request: policy.RequestID(m.requests)})
}

func (m *requestModel) send(a router.Attempt) {
	m.StartAttempt(1, a, newRequest(modelAttemptID(a)), time.Second)
	m.outstanding = append(m.outstanding, a)
}

// retry cancels an attempt and sends its request to the same worker again under the same id. A response to the canceled
// attempt that arrives afterwards must not complete the later one.
func (m *requestModel) retry(t *rapid.T) {
	if len(m.outstanding) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.outstanding)-1).Draw(t, "i")
	first := m.outstanding[i]
	if len(m.recorder.outcomes[first]) > 0 {
		return
	}
	id := modelAttemptID(first)
	responseDue := map[*fakeTransport]bool{}
	for _, transport := range m.transports {
		responseDue[transport] = writtenRuns(transport, id) > m.lateResponses[transport][id]
	}
	m.CancelAttempt(1, first)
	m.outstanding = slices.Delete(m.outstanding, i, i+1)
	second := router.Attempt{Request: first.Request, Number: first.Number + 1}
	m.send(second)
	for _, transport := range m.transports {
		if responseDue[transport] && !transport.Closed {
			m.respondLate(transport, id)
		}
	}
	if string(m.recorder.results[second].Body) == "old" {
		t.Fatal("the response to the first attempt completed the second")
	}
}

func (m *requestModel) respondLate(transport *fakeTransport, id string) {
	if m.lateResponses[transport] == nil {
		m.lateResponses[transport] = map[string]int{}
	}
	m.lateResponses[transport][id]++
	transport.handler.Data(encodeResponse(id, "HIT", "old"))
}

func (m *requestModel) completeDial(t *rapid.T) {
	for _, transport := range m.transports {
		if m.dialCompleted[transport] || transport.Closed {
			continue
		}
		m.dialCompleted[transport] = true
		if rapid.Bool().Draw(t, "fails") {
			transport.Closed = true
			transport.handler.DialCompleted(errors.New("refused"))
		} else {
			transport.handler.DialCompleted(nil)
		}
		return
	}
}

func (m *requestModel) reset(*rapid.T) {
	for _, transport := range m.transports {
		if m.dialCompleted[transport] && !transport.Closed {
			transport.Closed = true
			transport.handler.Closed(errors.New("reset"))
			return
		}
	}
}

// drain makes the worker drain and then be ready again. Requests that are queued behind a dial fail unsent at once.
func (m *requestModel) drain(t *rapid.T) {
	m.SetWorker(1, tcp4("127.0.0.1:1"), policy.Draining)
	for _, a := range m.outstanding {
		if len(m.recorder.outcomes[a]) == 0 && !m.wasWritten(a) {
			t.Fatalf("%v is still queued for a draining worker", a)
		}
	}
	m.SetWorker(1, tcp4("127.0.0.1:1"), policy.Ready)
}

// check checks what must hold after each action.
func (m *requestModel) check(t *rapid.T) {
	for _, transport := range m.transports {
		text := transport.Written.String()
		if strings.Count(text, "STOP\r\n") > strings.Count(text, "RUN\r\n") {
			t.Fatalf("a request that was never sent was canceled by STOP: %q", text)
		}
	}
	for a, outcomes := range m.recorder.outcomes {
		if len(outcomes) != 1 {
			t.Fatalf("%v has outcomes %v", a, outcomes)
		}
		if outcomes[0] == policy.ConnectionReset && !m.wasWritten(a) {
			t.Fatalf("%v was never written but counts as reset", a)
		}
	}
}

// wasWritten reports whether the id of an attempt's request was written over any connection.
func (m *requestModel) wasWritten(a router.Attempt) bool {
	return slices.ContainsFunc(m.transports, func(transport *fakeTransport) bool {
		return strings.Contains(transport.Written.String(), modelAttemptID(a))
	})
}

// writtenRuns returns how many RUN commands with an id were written over a connection.
func writtenRuns(transport *fakeTransport, id string) int {
	return strings.Count(transport.Written.String(), "RUN\r\n$16\r\n"+id)
}
