package workerclient

import (
	"crankhold/internal/eventloop"
)

// modelTransportState is where a connection of the model is in its life.
type modelTransportState string

const (
	modelDialing modelTransportState = "dialing"
	modelUp      modelTransportState = "up"
	modelClosing modelTransportState = "closing" // by the pool; its end is under way
	modelEnded   modelTransportState = "ended"
)

// modelTransport is a connection of the model, or a dial that is under way.
type modelTransport struct {
	model    *model
	worker   int
	addr     string
	handler  eventloop.DialHandler
	state    modelTransportState
	written  []byte
	decoded  int // parsed
	messages []*modelMessage
	unsent   int
}

// modelMessage is one that was written over a connection.
type modelMessage struct {
	name, id  string
	endOffset int
	answered  bool
	notRun    bool // proven never to have run
}

func (l *modelTransport) Write(bufs ...[]byte) {
	for _, b := range bufs {
		l.written = append(l.written, b...)
	}
	for {
		var room [maxElements][]byte
		words, n, err := decodeArray(l.written[l.decoded:], room[:0])
		if err != nil || n == 0 {
			break
		}
		l.decoded += n
		f := &modelMessage{name: string(words[0]), id: string(words[1]), endOffset: l.decoded}
		l.model.written(l, f)
		l.messages = append(l.messages, f)
	}
}

func (l *modelTransport) Close() {
	switch l.state {
	case modelDialing:
		l.state = modelEnded // cancelled: nobody hears of it again
	case modelUp:
		l.state = modelClosing
	}
}

func (l *modelTransport) UnsentBytes() int { return l.unsent }
