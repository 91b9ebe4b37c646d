package fake

import "time"

// EventKind is what happened at a worker.
type EventKind string

// Kinds of events. The values are the words that the example prints.
const (
	EventStarted        EventKind = "run"    // a request was accepted
	EventCompleted      EventKind = "done"   // its work was completed
	EventCanceled       EventKind = "stop"   // the router canceled it
	EventConnectionLost EventKind = "broken" // the connection ended before its response
	EventLoadCommand    EventKind = "hold"   // the router commanded a load
	EventOverloaded     EventKind = "shed"   // a request was rejected, for the queue was full
	EventNotLoaded      EventKind = "miss"   // a request was rejected, for its function was not loaded
)

// Event is something that happened at a worker.
type Event struct {
	At          time.Time
	Worker      *Worker
	Kind        EventKind
	ID          string // of the request; empty for a load command
	Class       string // of the request; empty for a load command
	FunctionKey string // of the function
}

// IsArrival reports whether the event is the arrival of a request or of a load command.
func (e Event) IsArrival() bool {
	switch e.Kind {
	case EventStarted, EventLoadCommand, EventNotLoaded:
		return true
	default:
		return false
	}
}
