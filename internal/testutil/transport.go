package testutil

import "bytes"

// Transport is a fake connection. It records what is written to it, and reports the number of unsent bytes that a test
// sets.
type Transport struct {
	Written bytes.Buffer // all written bytes, in order
	Closed  bool         // whether Close or CloseAfterFlush was called
	Unsent  int          // returned by UnsentBytes; how many of the last written bytes count as unsent
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

// CloseAfterFlush does the same as Close, because all written bytes are kept in either case.
func (t *Transport) CloseAfterFlush() { t.Close() }
