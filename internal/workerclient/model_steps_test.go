package workerclient

import (
	"errors"
	"fmt"
	"time"

	"crankhold/internal/router"
	"crankhold/policy"
)

// modelTick is how far one step of the model advances the clock.
const modelTick = 650 * time.Millisecond

// step is one event that may happen next in the model.
type step struct {
	name string
	do   func()
}

// stepList collects the steps that are possible now.
type stepList struct {
	model *model
	steps []step
}

func (l *stepList) add(do func(), format string, args ...any) {
	l.steps = append(l.steps, step{fmt.Sprintf(format, args...), do})
}

// addFault adds a step that is a fault, of which the scope allows a limited number.
func (l *stepList) addFault(do func(), format string, args ...any) {
	if l.model.faults == 0 {
		return
	}
	l.add(func() {
		l.model.faults--
		do()
	}, format, args...)
}

// Steps returns the names of the steps that are possible now.
func (m *model) Steps() (names []string) {
	for _, s := range m.steps() {
		names = append(names, s.name)
	}
	return names
}

// Do performs the step at index i of Steps.
func (m *model) Do(i int) {
	m.steps()[i].do()
	m.runTurn()
}

// steps returns the steps that are possible now, in a fixed order.
func (m *model) steps() []step {
	list := &stepList{model: m}
	if m.arrived < m.requestCount {
		list.add(m.acceptRequest, "request %d arrives", m.arrived)
	}
	for i, transport := range m.transports {
		switch transport.state {
		case modelDialing:
			transport.addDialSteps(list, i)
		case modelClosing:
			transport.addEndSteps(list, i)
		case modelUp:
			transport.addResetSteps(list, i)
			transport.addResponseSteps(list)
		}
	}
	m.addDrainSteps(list)
	m.addCancelSteps(list)
	if m.ticks > 0 {
		list.add(m.tick, "%v pass", modelTick)
	}
	return list.steps
}

func (m *model) acceptRequest() {
	index := m.arrived
	m.arrived++
	request := &modelRequest{}
	m.requests = append(m.requests, request)
	id := modelRequestID(index)
	m.log("take%d", index)
	m.ids[id] = m.core.Accept(m.now, router.Request{
		Responder: request,
		ID:        id,
		Function:  router.Function{Key: "00000000000000aa", ID: 0xaa, Lanes: 1, LoadTime: 500 * time.Millisecond},
		Body:      []byte("x"),
		Deadline:  m.now + 3*time.Second,
	})
}

func (m *model) tick() {
	m.ticks--
	m.now += modelTick
	m.log("tick")
	m.core.SetNow(m.now)
	m.pool.Maintain(m.now)
}

func (m *model) addDrainSteps(list *stepList) {
	if m.drains == 0 {
		return
	}
	for w, state := range m.workerStates {
		if state != policy.Ready {
			continue
		}
		list.add(func() {
			m.drains--
			m.workerStates[w] = policy.Draining
			m.log("drain%d", w)
			m.list()
		}, "worker %d drains", w)
	}
}

func (m *model) addCancelSteps(list *stepList) {
	if m.disconnects == 0 {
		return
	}
	for n, request := range m.requests {
		if request.clientDisconnected || request.responses > 0 {
			continue
		}
		list.add(func() {
			m.disconnects--
			request.clientDisconnected = true
			m.log("leave%d", n)
			m.core.CancelRequest(m.now, m.ids[modelRequestID(n)])
		}, "the client of request %d disconnects", n)
	}
}

func (t *modelTransport) addDialSteps(list *stepList, index int) {
	list.add(func() {
		t.state = modelUp
		t.handler.DialCompleted(nil)
	}, "dial %d to %s succeeds", index, t.addr)
	list.addFault(func() {
		t.state = modelEnded
		t.handler.DialCompleted(errors.New("refused"))
	}, "dial %d to %s is refused", index, t.addr)
}

// addEndSteps adds the end of a connection that the pool has closed.
func (t *modelTransport) addEndSteps(list *stepList, index int) {
	list.add(func() { t.end(0) }, "connection %d over %s ends", index, t.addr)
	if t.lastMessageMayBeCut() {
		list.add(func() { t.end(1) }, "connection %d over %s ends, its last message cut", index, t.addr)
	}
}

func (t *modelTransport) addResetSteps(list *stepList, index int) {
	list.addFault(func() { t.end(0) }, "connection %d over %s is reset", index, t.addr)
	if t.lastMessageMayBeCut() {
		list.addFault(func() { t.end(1) }, "connection %d over %s is reset, its last message cut", index, t.addr)
	}
}

// lastMessageMayBeCut reports whether the last message may not have been sent whole. That is possible if it has no
// response.
func (t *modelTransport) lastMessageMayBeCut() bool {
	count := len(t.messages)
	return count > 0 && !t.messages[count-1].responded
}

// end ends the connection with the given number of bytes unsent.
func (t *modelTransport) end(unsent int) {
	t.state = modelEnded
	t.unsent = unsent
	t.handler.Closed(errors.New("reset"))
}

func (t *modelTransport) addResponseSteps(list *stepList) {
	for _, message := range t.messages {
		if message.responded || message.name == nameStop || message.name == nameFree {
			continue
		}
		switch message.name {
		case nameRun:
			list.add(func() { t.respond(message, "HIT") }, "HIT for %s over %s", message.id, t.addr)
			list.addFault(func() { t.respond(message, "FAULT") }, "FAULT for %s over %s", message.id, t.addr)
			list.addFault(func() { t.respond(message, "NONE") }, "NONE for %s over %s", message.id, t.addr)
		case nameHold:
			list.add(func() { t.respond(message, "HIT") }, "HIT for load %s over %s", message.id, t.addr)
		default:
			list.add(func() { t.respond(message, "PONG") }, "PONG for %s over %s", message.id, t.addr)
		}
	}
}

// respond passes the response to a message to the pool. NONE proves that the message never ran.
func (t *modelTransport) respond(message *modelMessage, status string) {
	message.responded = true
	message.neverRan = status == "NONE"
	t.handler.Data(encodeResponse(message.id, status, ""))
}
