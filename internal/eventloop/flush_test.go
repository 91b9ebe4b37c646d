package eventloop

import "testing"

// A connection is flushed once for all writes of a turn. Bytes that a closed connection has queued count as unsent.
func TestFlushListHoldsAConnectionOnce(t *testing.T) {
	l := New(Config{})
	c := addClient(l, &echoHandler{}, clientActivity{})
	c.Write([]byte("one"))
	c.Write([]byte("two"))
	if len(l.flushes.conns) != 1 {
		t.Errorf("the connection is listed %d times, want once", len(l.flushes.conns))
	}
	c.Close()
	l.flushes.flush()
	if !l.flushes.isEmpty() || c.UnsentBytes() != 6 || !c.writer.isEmpty() {
		t.Errorf("%d connections are left, %d bytes unsent, want 0 and 6", len(l.flushes.conns), c.UnsentBytes())
	}
}
