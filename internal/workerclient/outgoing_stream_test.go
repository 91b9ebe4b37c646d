package workerclient

import (
	"testing"

	"crankhold/internal/testutil"
)

func TestOutgoingStreamCountsWhatMayHaveArrived(t *testing.T) {
	var stream outgoingStream
	stream.close() // there is nothing to close before a dial has succeeded
	if stream.bytesSent() != 0 {
		t.Errorf("%d bytes may have arrived without a transport", stream.bytesSent())
	}
	transport := &testutil.Transport{Unsent: 3}
	stream.transport = transport
	stream.write([]byte("NOOP"), []byte("\r\n"))
	if stream.bytesWritten != 6 || stream.bytesSent() != 3 || transport.Written.String() != "NOOP\r\n" {
		t.Errorf("%d bytes written, %d may have arrived", stream.bytesWritten, stream.bytesSent())
	}
	stream.close()
	if !transport.Closed {
		t.Error("the transport is not closed")
	}
}
