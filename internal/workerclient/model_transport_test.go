package workerclient

import "crankhold/internal/eventloop"

// modelTransportState is where a connection of the model is in its life.
type modelTransportState string

const (
	modelDialing modelTransportState = "dialing"
	modelUp      modelTransportState = "up"
	modelClosing modelTransportState = "closing" // closed by the pool; its end has yet to be reported
	modelEnded   modelTransportState = "ended"
)

// modelTransport is a connection of the model, or a dial that is in progress.
type modelTransport struct {
	model    *model
	worker   int
	addr     string
	handler  eventloop.DialHandler
	state    modelTransportState
	written  []byte
	decoded  int // bytes of written that are in messages
	messages []*modelMessage
	unsent   int // bytes, of the last ones written
}

// modelMessage is one that was written over a connection.
type modelMessage struct {
	name      string
	id        string
	endOffset int // of its last byte in what was written, in bytes
	responded bool
	neverRan  bool // proven never to have run
}

func (t *modelTransport) Write(buffers ...[]byte) {
	for _, buffer := range buffers {
		t.written = append(t.written, buffer...)
	}
	for {
		var storage [maxElements][]byte
		elements, size, err := decodeArray(t.written[t.decoded:], storage[:0])
		if err != nil || size == 0 {
			break
		}
		t.decoded += size
		message := &modelMessage{name: string(elements[0]), id: string(elements[1]), endOffset: t.decoded}
		t.model.checkWritten(t, message)
		t.messages = append(t.messages, message)
	}
}

func (t *modelTransport) Close() {
	switch t.state {
	case modelDialing:
		t.state = modelEnded // canceled: its end is not reported
	case modelUp:
		t.state = modelClosing
	}
}

func (t *modelTransport) UnsentBytes() int { return t.unsent }

// mayHaveRun reports whether a RUN may have run: it may have left whole, and no response proves that it did not run.
func (t *modelTransport) mayHaveRun(message *modelMessage) bool {
	neverLeft := t.state == modelEnded && message.endOffset > len(t.written)-t.unsent
	return message.name == nameRun && !message.neverRan && !neverLeft
}
