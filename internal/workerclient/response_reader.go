package workerclient

import (
	"time"

	"crankhold/internal/framing"
)

// responseReader reassembles the responses of one connection from reads that may end anywhere within one.
type responseReader struct {
	partial      framing.Buffer // the start of an incomplete response
	partialSince time.Duration  // when the first bytes of partial arrived
}

// feed passes data that arrived at now to decode, response by response, and buffers the rest. It stops at an error of
// decode and returns the error.
func (r *responseReader) feed(now time.Duration, data []byte, decode framing.Decoder) error {
	wasEmpty := r.partial.Len() == 0
	responses, err := r.partial.Feed(data, decode)
	if err != nil {
		return err
	}
	if r.partial.Len() > 0 && (wasEmpty || responses > 0) {
		r.partialSince = now
	}
	return nil
}

// incompleteFor returns how long a response has been incomplete, or 0 if none is.
func (r *responseReader) incompleteFor(now time.Duration) time.Duration {
	if r.partial.Len() == 0 {
		return 0
	}
	return now - r.partialSince
}
