package fake

import "time"

// EventKind is the kind of an event at a worker.
type EventKind string

// Kinds of events. The example prints their values.
const (
	EventStarted        EventKind = "run"    // a request was accepted
	EventCompleted      EventKind = "done"   // a request completed
	EventCanceled       EventKind = "stop"   // the router canceled a request
	EventConnectionLost EventKind = "broken" // the connection was closed before the response to a request
	EventLoadCommand    EventKind = "hold"   // the router sent a load command
	EventOverloaded     EventKind = "shed"   // a request was rejected because the queue was full
	EventNotLoaded      EventKind = "miss"   // a request was rejected because its function was not loaded
)

// Event describes one event at a worker.
type Event struct {
	At          time.Time
	Worker      *Worker
	Kind        EventKind
	ID          string // request id; empty for a load command
	Class       string // class of the request; empty for a load command
	FunctionKey string // key of the function
}

// IsArrival reports whether the event is the arrival of a request or of a load command. A request that is rejected
// because the queue is full does not count.
func (e Event) IsArrival() bool {
	switch e.Kind {
	case EventStarted, EventLoadCommand, EventNotLoaded:
		return true
	default:
		return false
	}
}
