package ledger

import (
	"bufio"
	"errors"
	"io"
	"slices"
	"time"
)

// Content is the decoded content of a ledger file.
type Content struct {
	// Entries holds the last entry of each order. They are sorted by the positions of the orders' first entries.
	Entries []Entry
	// RetentionHorizon is the latest event time of an order that was dropped because of its age. Orders whose events
	// are not after it may have been dropped, too. It is zero if none was dropped.
	RetentionHorizon time.Time
}

// readContent reads a ledger file. It also returns the size of the file's complete lines in bytes.
func readContent(path string, r io.Reader) (content Content, size int64, err error) {
	indexByID := map[string]int{}
	size, err = readEntries(path, r, func(entry Entry) {
		if entry.State == retentionHorizon {
			content.RetentionHorizon = entry.EventTime
			return
		}
		index, known := indexByID[entry.ID]
		if known {
			content.Entries[index] = entry
			return
		}
		indexByID[entry.ID] = len(content.Entries)
		content.Entries = append(content.Entries, entry)
	})
	return content, size, err
}

// readEntries calls visit for each entry and returns the size of the entries' lines in bytes. An incomplete last line
// is skipped: it was never synced, so its order was never forwarded. Any other damage is reported as a FileError.
func readEntries(path string, r io.Reader, visit func(Entry)) (size int64, err error) {
	in := bufio.NewReaderSize(r, maxLineBytes)
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

// dropUnretained drops orders whose event is before oldest, and orders that did not run. When an order is dropped
// because of its age, the retention horizon advances to the time of its event. This keeps the order from being accepted
// again after the wall clock is stepped back.
func (c *Content) dropUnretained(oldest time.Time) {
	c.Entries = slices.DeleteFunc(c.Entries, func(entry Entry) bool {
		expired := entry.EventTime.Before(oldest)
		if expired && entry.EventTime.After(c.RetentionHorizon) {
			c.RetentionHorizon = entry.EventTime
		}
		return expired || entry.State == NotRun
	})
}

// encode returns the content as the lines of a ledger file.
func (c *Content) encode() (lines []byte) {
	if !c.RetentionHorizon.IsZero() {
		lines = encodeEntry(Entry{EventTime: c.RetentionHorizon, State: retentionHorizon})
	}
	for _, entry := range c.Entries {
		lines = append(lines, encodeEntry(entry)...)
	}
	return lines
}
