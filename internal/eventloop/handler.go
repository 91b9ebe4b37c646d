package eventloop

// Handler handles the events of a connection. All its methods run on the loop's goroutine and must not block.
type Handler interface {
	// Data receives bytes, which the handler may keep.
	Data(b []byte)
	// Closed is the last call, once for each connection. err is nil if this side closed the connection without an
	// error.
	Closed(err error)
}

// AcceptedHandler is the handler of an accepted connection.
type AcceptedHandler interface {
	Handler
	// Busy reports whether the connection has open requests and so must not be closed.
	Busy() bool
	// Messages returns the number of complete messages that have arrived, and whether another has arrived in part.
	Messages() (complete int, partial bool)
	// Buffered returns the bytes of memory that the handler keeps for data that it could not handle yet.
	Buffered() int
}

// DialHandler is the handler of a connection that this program opens.
type DialHandler interface {
	Handler
	// DialCompleted receives the result of the dial. If err is not nil, it is the last call.
	DialCompleted(err error)
}
