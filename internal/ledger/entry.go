package ledger

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"time"
)

// A line of the ledger is the CRC-32 (IEEE) of the JSON in 8 hex digits, a space, the JSON of an entry, and a line
// feed.
const (
	checksumDigits = 2 * crc32.Size
	minLedgerLine  = checksumDigits + 2 // the checksum, the space and the line feed
	maxLedgerLine  = 64 << 10
)

// State is what an entry says of its order. Its values are on the disk and may not change.
type State string

const (
	Begun State = "begun" // it may run from now on
	Ended State = "ended" // with the entry's outcome
	Freed State = "freed" // it is proven not to have run

	// stateHorizon is of an entry that belongs to no order: those that happened up to its time may have been forgotten.
	stateHorizon State = "horizon"
)

// Entry is a line of the ledger. The last entry of an order counts.
type Entry struct {
	ID         string    `json:"id"`
	EventTime  time.Time `json:"at"`
	BodyDigest string    `json:"sum"` // of the payload
	State      State     `json:"state"`
	Status     int       `json:"status,omitempty"`
	Body       []byte    `json:"body,omitempty"`
}

// encodeEntry returns an entry's line.
func encodeEntry(e Entry) []byte {
	text, err := json.Marshal(e)
	if err != nil {
		panic(err) // of strings, numbers and bytes: it can't fail
	}
	return fmt.Appendf(nil, "%08x %s\n", crc32.ChecksumIEEE(text), text)
}

// decodeEntry reads a line, with its line feed.
func decodeEntry(line []byte) (e Entry, err error) {
	if len(line) < minLedgerLine {
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

// readEntries calls visit for each entry and returns the size of them all. A last line that was cut short was never
// synced, so its order was never forwarded; damage anywhere else leaves open which orders ran, and is a FileError.
func readEntries(path string, r io.Reader, visit func(Entry)) (size int64, err error) {
	in := bufio.NewReaderSize(r, maxLedgerLine)
	for number := 1; ; number++ {
		line, err := in.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return size, nil
		}
		if err != nil {
			return size, &FileError{Path: path, Line: number, Err: err}
		}
		entry, err := decodeEntry(line)
		if err != nil {
			return size, &FileError{Path: path, Line: number, Err: err}
		}
		visit(entry)
		size += int64(len(line))
	}
}
