package ledger

import (
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"time"
)

// A line of the ledger is the CRC-32 (IEEE) of the JSON in 8 hex digits, a space, the JSON of an entry, and a line
// feed.
const (
	checksumDigits = 2 * crc32.Size
	minLineBytes   = checksumDigits + 2 // the checksum, the space and the line feed
	maxLineBytes   = 64 << 10
)

// State is what an entry says of its order. Its values are on the disk and may not change.
type State string

// The states of an order.
const (
	Begun  State = "begun" // the order may run from now on
	Ended  State = "ended" // it has the entry's outcome
	NotRun State = "freed" // it is proven not to have run, and may be begun again

	// retentionHorizon is of an entry that belongs to no order: the retention horizon of Content is its time.
	retentionHorizon State = "horizon"
)

// Entry is a line of the ledger. The last entry of an order counts. Its form is on the disk and may not change.
type Entry struct {
	ID         string    `json:"id"`
	EventTime  time.Time `json:"at"`  // by which the order's retention counts
	BodyDigest string    `json:"sum"` // of the payload
	State      State     `json:"state"`
	Status     int       `json:"status,omitempty"` // of the response; with Ended alone
	Body       []byte    `json:"body,omitempty"`   // of the response; with Ended alone
}

// encodeEntry returns an entry's line.
func encodeEntry(e Entry) []byte {
	text, err := json.Marshal(e)
	if err != nil {
		panic(err) // of strings, numbers and bytes: it can't fail
	}
	return fmt.Appendf(nil, "%08x %s\n", crc32.ChecksumIEEE(text), text)
}

// decodeEntry reads a line, with its line feed. Its errors are errDamagedLine, or say what is wrong with the text.
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
