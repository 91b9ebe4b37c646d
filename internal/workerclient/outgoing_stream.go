package workerclient

// outgoingStream is the sending side of a connection: its transport, and how many bytes were written to it. Before a
// dial has succeeded there is no transport, and nothing may be written.
type outgoingStream struct {
	transport    Transport
	bytesWritten int
}

func (s *outgoingStream) write(buffers ...[]byte) {
	for _, buffer := range buffers {
		s.bytesWritten += len(buffer)
	}
	s.transport.Write(buffers...)
}

// bytesSent returns how many of the written bytes left this program, so that they may have reached the worker. It is
// valid only after the connection has ended.
func (s *outgoingStream) bytesSent() int {
	if s.transport == nil {
		return s.bytesWritten
	}
	return s.bytesWritten - s.transport.UnsentBytes()
}

// close closes the transport, if there is one.
func (s *outgoingStream) close() {
	if s.transport != nil {
		s.transport.Close()
	}
}
