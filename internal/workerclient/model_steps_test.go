package workerclient

import (
	"errors"
	"fmt"
	"time"

	"crankhold/internal/router"
	"crankhold/policy"
)

type step struct {
	name string
	do   func()
}

// steps are all that may happen now.
func (m *model) steps() (list []step) {
	add := func(do func(), format string, args ...any) {
		list = append(list, step{fmt.Sprintf(format, args...), do})
	}
	bad := func(do func(), format string, args ...any) {
		if m.faults > 0 {
			add(func() { m.faults--; do() }, format, args...)
		}
	}
	if m.arrived < m.calls {
		add(func() {
			n := m.arrived
			m.arrived++
			k := &modelRequest{}
			m.requests = append(m.requests, k)
			id := fmt.Sprintf("%016x", n+1)
			m.log("take%d", n)
			m.ids[id] = m.core.Accept(m.now, router.Request{Responder: k, ID: id, FunctionKey: "00000000000000aa", Function: 0xaa, Lanes: 1,
				LoadTime: 500 * time.Millisecond, Body: []byte("x"), Deadline: m.now + 3*time.Second})
		}, "call %d comes", m.arrived)
	}
	for i, l := range m.transports {
		switch l.state {
		case modelDialing:
			add(func() { l.state = modelUp; l.handler.DialCompleted(nil) }, "dial %d over %s comes up", i, l.addr)
			bad(func() { l.state = modelEnded; l.handler.DialCompleted(errors.New("refused")) }, "dial %d over %s is refused", i, l.addr)
		case modelUp, modelClosing:
			// The last message may not have left whole, unless it has its response.
			cut := 0
			if n := len(l.messages); n > 0 && !l.messages[n-1].answered {
				cut = 1
			}
			end := func(left int) func() {
				return func() { l.state, l.unsent = modelEnded, left; l.handler.Closed(errors.New("reset")) }
			}
			if l.state == modelClosing {
				add(end(0), "the end of %d over %s", i, l.addr)
				if cut > 0 {
					add(end(cut), "the end of %d over %s, its last message cut", i, l.addr)
				}
				continue
			}
			bad(end(0), "a reset of %d over %s", i, l.addr)
			if cut > 0 {
				bad(end(cut), "a reset of %d over %s, its last message cut", i, l.addr)
			}
			for _, f := range l.messages {
				if f.answered || f.name == "STOP" || f.name == "FREE" {
					continue
				}
				answer := func(word string, unrun bool) func() {
					return func() { f.answered, f.notRun = true, unrun; l.handler.Data(encodeResponse(f.id, word, "")) }
				}
				switch f.name {
				case "RUN":
					add(answer("HIT", false), "HIT for %s over %s", f.id, l.addr)
					bad(answer("FAULT", false), "FAULT for %s over %s", f.id, l.addr)
					bad(answer("NONE", true), "NONE for %s over %s", f.id, l.addr)
				case "HOLD":
					add(answer("HIT", false), "HIT for order %s over %s", f.id, l.addr)
				default:
					add(answer("PONG", false), "PONG for %s over %s", f.id, l.addr)
				}
			}
		}
	}
	if m.drains > 0 {
		for w, state := range m.workerStates {
			if state == policy.Ready {
				add(func() {
					m.drains--
					m.workerStates[w] = policy.Draining
					m.log("drain%d", w)
					m.list()
				}, "worker %d drains", w)
			}
		}
	}
	if m.interrupts > 0 {
		for n, k := range m.requests {
			if !k.left && k.responses == 0 {
				add(func() {
					m.interrupts--
					k.left = true
					m.log("leave%d", n)
					m.core.CancelRequest(m.now, m.ids[fmt.Sprintf("%016x", n+1)])
				}, "the client of %d leaves", n)
			}
		}
	}
	if m.ticks > 0 {
		add(func() {
			m.ticks--
			m.now += 650 * time.Millisecond
			m.log("tick")
			m.core.SetNow(m.now)
			m.pool.Maintain(m.now)
		}, "650 ms pass")
	}
	return list
}

func (m *model) Steps() (names []string) {
	for _, s := range m.steps() {
		names = append(names, s.name)
	}
	return names
}

func (m *model) Do(i int) {
	m.steps()[i].do()
	m.turn()
}
