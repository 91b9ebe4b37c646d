package webhook

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

const (
	compactedSuffix = ".new" // of the file that replaces the ledger
	ledgerFileMode  = 0o600
)

// compact replaces the file by one that holds only the last entry of each order that is still retained, and returns
// these entries in the order of the orders' first ones. The ledger appends to the new file.
func (l *ledger) compact() ([]ledgerEntry, error) {
	entries, err := l.readLastEntries()
	if err != nil {
		return nil, err
	}
	var retained []ledgerEntry
	var content []byte
	for _, entry := range entries {
		if l.isRetained(entry) {
			retained = append(retained, entry)
			content = append(content, encodeEntry(entry)...)
		}
	}
	file, err := l.replaceFile(content)
	if err != nil {
		return nil, &LedgerError{Path: l.path, Err: err}
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file = file
	l.size = int64(len(content))
	l.compactedAt = l.wallClock()
	return retained, nil
}

func (l *ledger) isRetained(entry ledgerEntry) bool {
	return entry.State != stateFreed && l.wallClock().Sub(entry.EventTime) <= l.retention
}

// readLastEntries reads the last entry of each order. A ledger that does not exist yet has none.
func (l *ledger) readLastEntries() ([]ledgerEntry, error) {
	file, err := os.Open(l.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &LedgerError{Path: l.path, Err: err}
	}
	defer file.Close()
	var entries []ledgerEntry
	indexByID := map[string]int{}
	err = readEntries(l.path, file, func(entry ledgerEntry) {
		index, known := indexByID[entry.ID]
		if known {
			entries[index] = entry
			return
		}
		indexByID[entry.ID] = len(entries)
		entries = append(entries, entry)
	})
	return entries, err
}

// replaceFile writes a new file and renames it to the ledger's path. Both are on the disk when it returns the file.
func (l *ledger) replaceFile(content []byte) (*os.File, error) {
	path := l.path + compactedSuffix
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, ledgerFileMode)
	if err != nil {
		return nil, err
	}
	if err := l.installFile(file, content); err != nil {
		file.Close()
		return nil, err
	}
	return file, nil
}

func (l *ledger) installFile(file *os.File, content []byte) error {
	if _, err := file.Write(content); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	if err := os.Rename(file.Name(), l.path); err != nil {
		return err
	}
	return syncDir(filepath.Dir(l.path))
}

// syncDir makes a rename in a directory durable.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
