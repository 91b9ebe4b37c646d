package ledger

import (
	"errors"
	"io"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"slices"
	"time"
)

const (
	compactedSuffix = ".new" // of the file that replaces the ledger
	ledgerFileMode  = 0o600
)

// wholeFile has read take a file to its end.
const wholeFile = math.MaxInt64

// Content is what a ledger's file says.
type Content struct {
	Entries          []Entry   // the last one of each order, in the order of the orders' first ones
	RetentionHorizon time.Time // orders that happened up to then may have been forgotten; zero: none was
	size             int64     // of the good part of the file
}

// compact replaces the file by one that holds only the last entry of each order that is still retained. The ledger
// appends to the new file.
func (l *Ledger) compact() error {
	content, err := l.read(l.size)
	if err != nil {
		return err
	}
	l.retain(&content)
	return l.replace(content)
}

// retain drops what is not retained any longer. Where that is for its age, the horizon moves on, so that no wall clock,
// were it stepped back, brings a forgotten order's time again.
func (l *Ledger) retain(content *Content) {
	expired := l.now.Add(-l.retention)
	content.Entries = slices.DeleteFunc(content.Entries, func(entry Entry) bool {
		isExpired := entry.EventTime.Before(expired)
		if isExpired && entry.EventTime.After(content.RetentionHorizon) {
			content.RetentionHorizon = entry.EventTime
		}
		return isExpired || entry.State == Freed
	})
}

// read reads the good part of the file up to a size. A ledger that does not exist yet is empty.
func (l *Ledger) read(size int64) (content Content, err error) {
	file, err := l.disk.Open(l.path, os.O_RDONLY, 0)
	if errors.Is(err, fs.ErrNotExist) {
		return content, nil
	}
	if err != nil {
		return content, &FileError{Path: l.path, Err: err}
	}
	defer file.Close()
	indexByID := map[string]int{}
	content.size, err = readEntries(l.path, io.LimitReader(file, size), func(entry Entry) {
		if entry.State == stateHorizon {
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
	return content, err
}

// encode returns the content as lines.
func (c *Content) encode() (lines []byte) {
	if !c.RetentionHorizon.IsZero() {
		lines = encodeEntry(Entry{EventTime: c.RetentionHorizon, State: stateHorizon})
	}
	for _, entry := range c.Entries {
		lines = append(lines, encodeEntry(entry)...)
	}
	return lines
}

// replace writes a new file, renames it to the ledger's path and has the ledger append to it. Both are on the disk when
// it returns without an error. After one the ledger's file is the old one or, where the rename came to pass, the new
// one.
func (l *Ledger) replace(content Content) error {
	lines := content.encode()
	path := l.path + compactedSuffix
	file, err := l.disk.Open(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, ledgerFileMode)
	if err != nil {
		return &FileError{Path: l.path, Err: err}
	}
	if err := l.install(file, path, lines); err != nil {
		file.Close()
		return &FileError{Path: l.path, Err: err}
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file = file
	l.size = int64(len(lines))
	l.compactedAt = l.now
	if err := l.disk.SyncDir(filepath.Dir(l.path)); err != nil {
		return &FileError{Path: l.path, Err: err}
	}
	return nil
}

// install writes lines to a new file and renames it to the ledger's path.
func (l *Ledger) install(file File, path string, lines []byte) error {
	if _, err := file.Write(lines); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	return l.disk.Rename(path, l.path)
}
