package ipfix

import (
	"encoding/binary"
	"testing"
	"time"
)

// The sequence number of each message is the number of records before it. A message contains as many records as fit,
// and the templates if they are due.
func TestMessageBuilder(t *testing.T) {
	messages := messageBuilder{domain: 7, wallClock: func() time.Time { return noon }}
	records := make([]record, 40)
	for i := range records {
		records[i] = record{template: templateIPv4ID, data: make([]byte, 100)}
	}
	for i, step := range []struct {
		now       time.Duration
		records   int
		taken     int
		sequence  uint32
		templates bool
	}{
		{time.Hour, 40, 12, 0, true},
		{time.Hour + templateInterval - 1, 40, 13, 12, false},
		{time.Hour + templateInterval, 2, 2, 25, true},
	} {
		message, taken := messages.next(step.now, records[:step.records])
		if taken != step.taken || binary.BigEndian.Uint32(message[sequenceOffset:]) != step.sequence {
			t.Errorf("message %d: %d records, header %x", i, taken, message[:messageHeaderBytes])
		}
		if first := binary.BigEndian.Uint16(message[messageHeaderBytes:]); (first == templateSetID) != step.templates {
			t.Errorf("message %d starts with set %d", i, first)
		}
	}
}
