package ledger

import (
	"bufio"
	"errors"
	"io"
	"slices"
	"time"
)

// Content is what a ledger holds.
type Content struct {
	// Entries are the last entries of all orders, in the order of the orders' first ones.
	Entries []Entry
	// RetentionHorizon is the latest time of an order that was dropped for its age; orders up to it may have been
	// forgotten. Zero: none was dropped.
	RetentionHorizon time.Time
}

// readContent reads a ledger, and returns the size of its whole lines too.
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

// readEntries calls visit for each entry and returns the size of their lines. A last line that was cut short was never
// synced, so its order was never forwarded, and it is skipped. Damage anywhere else is a FileError.
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

// dropUnretained drops orders whose event is before oldest, and those that did not run. Where an order is dropped for
// its age the retention horizon advances to its event, so that no wall clock that is stepped back makes the order
// acceptable again.
func (c *Content) dropUnretained(oldest time.Time) {
	c.Entries = slices.DeleteFunc(c.Entries, func(entry Entry) bool {
		expired := entry.EventTime.Before(oldest)
		if expired && entry.EventTime.After(c.RetentionHorizon) {
			c.RetentionHorizon = entry.EventTime
		}
		return expired || entry.State == NotRun
	})
}

// encode returns the content as lines.
func (c *Content) encode() (lines []byte) {
	if !c.RetentionHorizon.IsZero() {
		lines = encodeEntry(Entry{EventTime: c.RetentionHorizon, State: retentionHorizon})
	}
	for _, entry := range c.Entries {
		lines = append(lines, encodeEntry(entry)...)
	}
	return lines
}
