package ipfix

import (
	"encoding/binary"
	"time"
)

// The layout of messages and sets (RFC 7011, sections 3.1 and 3.3.2).
const (
	protocolVersion    = 10
	versionOffset      = 0
	lengthOffset       = 2
	exportTimeOffset   = 4
	sequenceOffset     = 8
	domainOffset       = 12
	messageHeaderBytes = 16
	setHeaderBytes     = 4
	setLengthOffset    = 2 // offset of the length in a set's header

	// maxMessageBytes is less than the payload of an Ethernet frame, so that no message is fragmented (section 10.3.3).
	maxMessageBytes = 1400
)

// templateInterval is the time between two transmissions of the templates (section 8.4).
const templateInterval = time.Minute

// messageHeader is the header of a message without its version and length (section 3.1).
type messageHeader struct {
	exportTime time.Time
	sequence   uint32 // the number of records in earlier messages
	domain     uint32
}

// messageBuilder builds the messages of one observation domain. It counts the records for the sequence numbers and
// schedules the templates.
type messageBuilder struct {
	domain        uint32
	wallClock     func() time.Time
	sequence      uint32        // the number of records in earlier messages, modulo 2^32
	nextTemplates time.Duration // when the templates are due; 0 for the next message
}

// next returns a message with as many of the records as fit, and their count. The message starts with the templates if
// they are due.
func (s *messageBuilder) next(now time.Duration, records []record) (message []byte, count int) {
	message = newMessage()
	if s.nextTemplates <= now {
		s.nextTemplates = now + templateInterval
		message = appendTemplateSet(message)
	}
	message, count = appendRecords(message, records)
	writeMessageHeader(message, messageHeader{exportTime: s.wallClock(), sequence: s.sequence, domain: s.domain})
	s.sequence += uint32(count)
	return message, count
}

// newMessage returns a message that consists of an empty header.
func newMessage() []byte { return make([]byte, messageHeaderBytes, maxMessageBytes) }

// writeMessageHeader writes the header of a complete message.
func writeMessageHeader(message []byte, header messageHeader) {
	binary.BigEndian.PutUint16(message[versionOffset:], protocolVersion)
	binary.BigEndian.PutUint16(message[lengthOffset:], uint16(len(message)))
	binary.BigEndian.PutUint32(message[exportTimeOffset:], uint32(header.exportTime.Unix()))
	binary.BigEndian.PutUint32(message[sequenceOffset:], header.sequence)
	binary.BigEndian.PutUint32(message[domainOffset:], header.domain)
}

// appendRecords appends as many records as fit into a message, and returns their count. Consecutive records of the same
// template share a set.
func appendRecords(message []byte, records []record) (extended []byte, count int) {
	setStart := 0
	var setTemplate uint16
	for _, r := range records {
		if len(message)+setHeaderBytes+len(r.data) > maxMessageBytes {
			break
		}
		if r.template != setTemplate {
			setStart = len(message)
			setTemplate = r.template
			message = appendSetHeader(message, r.template)
		}
		message = append(message, r.data...)
		writeSetLength(message, setStart)
		count++
	}
	return message, count
}

// appendSetHeader appends the header of a set with length 0, which writeSetLength replaces later.
func appendSetHeader(b []byte, id uint16) []byte {
	b = binary.BigEndian.AppendUint16(b, id)
	return binary.BigEndian.AppendUint16(b, 0)
}

// writeSetLength writes the length of the set that starts at start and ends at the end of b.
func writeSetLength(b []byte, start int) {
	binary.BigEndian.PutUint16(b[start+setLengthOffset:], uint16(len(b)-start))
}
