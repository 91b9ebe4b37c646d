package testutil

import "bytes"

// Transport is a fake connection. It keeps what is written to it, and reports what a test has set.
type Transport struct {
	Written bytes.Buffer // all that was written, in order
	Closed  bool         // Close or CloseAfterFlush was called
	Unsent  int          // bytes, of the last ones written, that UnsentBytes reports
}

// Write appends the buffers to Written.
func (t *Transport) Write(buffers ...[]byte) {
	for _, buffer := range buffers {
		t.Written.Write(buffer)
	}
}

// UnsentBytes returns Unsent.
func (t *Transport) UnsentBytes() int { return t.Unsent }

// Close records that the connection is closed.
func (t *Transport) Close() { t.Closed = true }

// CloseAfterFlush does what Close does: all that was written is kept in either case.
func (t *Transport) CloseAfterFlush() { t.Close() }
