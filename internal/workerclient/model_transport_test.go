package workerclient

import "crankhold/internal/eventloop"

// modelTransportState is the stage of a model connection in its life cycle.
type modelTransportState string

const (
	modelDialing modelTransportState = "dialing"
	modelUp      modelTransportState = "up"
	modelClosing modelTransportState = "closing" // closed by the pool; its end is not reported yet
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
	decoded  int // bytes of written that were decoded to messages
	messages []*modelMessage
	unsent   int // how many of the last bytes written were not sent
}

// modelMessage is a message that was written over a connection.
type modelMessage struct {
	name      string
	id        string
	endOffset int // bytes written up to the end of the message
	responded bool
	neverRan  bool // proven by its response
}

func (t *modelTransport) Write(buffers ...[]byte) {
	for _, buffer := range buffers {
		t.written = append(t.written, buffer...)
	}
	for {
		elements, size, err := decodeArray(t.written[t.decoded:])
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
		t.state = modelEnded // a canceled dial: its end is not reported
	case modelUp:
		t.state = modelClosing
	}
}

func (t *modelTransport) UnsentBytes() int { return t.unsent }

// mayHaveRun reports whether a message is a RUN that may have run: it may have been sent whole, and no response proves
// that it did not run.
func (t *modelTransport) mayHaveRun(message *modelMessage) bool {
	neverLeft := t.state == modelEnded && message.endOffset > len(t.written)-t.unsent
	return message.name == nameRun && !message.neverRan && !neverLeft
}
