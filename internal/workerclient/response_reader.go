package workerclient

import (
	"time"

	"crankhold/internal/framing"
)

// responseReader reassembles the responses of one connection, however they are split.
type responseReader struct {
	partial      framing.Buffer // the beginning of a response
	partialSince time.Duration  // when that arrived
}

// feed hands data that arrived at now to decode, response by response, and buffers the rest. It returns the error with
// which decode ended it.
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

// incompleteFor returns for how long a response has been incomplete, 0 where none is.
func (r *responseReader) incompleteFor(now time.Duration) time.Duration {
	if r.partial.Len() == 0 {
		return 0
	}
	return now - r.partialSince
}
