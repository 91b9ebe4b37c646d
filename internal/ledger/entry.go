package ledger

import (
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"time"
)

// A line of the ledger consists of the CRC-32 (IEEE) of the JSON in 8 hex digits, a space, the JSON of an entry, and a
// line feed.
const (
	checksumDigits = 2 * crc32.Size
	minLineBytes   = checksumDigits + 2 // the checksum, the space and the line feed
	maxLineBytes   = 64 << 10
)

// State is the state of an order according to an entry. Its values are stored on disk and must not change.
type State string

// The states of an order.
const (
	Begun  State = "begun" // the order is about to be forwarded and may have run
	Ended  State = "ended" // the order has completed with the status of the entry
	NotRun State = "freed" // the order is proven not to have run and may be forwarded again

	// retentionHorizon is the state of an entry that belongs to no order. Its time is Content.RetentionHorizon.
	retentionHorizon State = "horizon"
)

// Entry is a decoded line of the ledger. The last entry of an order states what is known of it. The encoding is stored
// on disk and must not change.
type Entry struct {
	ID         string    `json:"id"`
	EventTime  time.Time `json:"at"`  // start of the order's retention period
	BodyDigest string    `json:"sum"` // digest of the request's payload
	State      State     `json:"state"`
	Status     int       `json:"status,omitempty"` // of the response; set only with state Ended
	Body       []byte    `json:"body,omitempty"`   // of the response; set only with state Ended
}

// encodeEntry returns the line of an entry, with its line feed.
func encodeEntry(e Entry) []byte {
	text, err := json.Marshal(e)
	if err != nil {
		panic(err) // unreachable: strings, numbers and bytes can always be encoded
	}
	return fmt.Appendf(nil, "%08x %s\n", crc32.ChecksumIEEE(text), text)
}

// decodeEntry decodes a line, with its line feed. It returns errDamagedLine if the line is too short or the checksum
// differs, and the decoder's error if the checksum or the JSON is malformed.
func decodeEntry(line []byte) (e Entry, err error) {
	if len(line) < minLineBytes {
		return e, errDamagedLine
	}
	var checksum [crc32.Size]byte
	if _, err := hex.Decode(checksum[:], line[:checksumDigits]); err != nil {
		return e, err
	}
	text := line[checksumDigits+1 : len(line)-1]
	if binary.BigEndian.Uint32(checksum[:]) != crc32.ChecksumIEEE(text) {
		return e, errDamagedLine
	}
	err = json.Unmarshal(text, &e)
	return e, err
}
