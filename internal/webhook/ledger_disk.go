package webhook

import (
	"io"
	"os"
)

// diskFile is an open file of the ledger; an os.File is one.
type diskFile interface {
	io.ReadWriteCloser
	Sync() error
	Truncate(size int64) error
}

// ledgerDisk is where a ledger is kept. Its methods fail as the system's do.
type ledgerDisk interface {
	// Open is os.OpenFile.
	Open(path string, flag int, mode os.FileMode) (diskFile, error)
	// Rename is os.Rename.
	Rename(from, to string) error
	// SyncDir makes a rename in a directory durable.
	SyncDir(dir string) error
}

// systemDisk is the system's.
type systemDisk struct{}

// Open implements ledgerDisk.
func (systemDisk) Open(path string, flag int, mode os.FileMode) (diskFile, error) {
	file, err := os.OpenFile(path, flag, mode)
	if err != nil {
		return nil, err // not a file that is nil
	}
	return file, nil
}

// Rename implements ledgerDisk.
func (systemDisk) Rename(from, to string) error { return os.Rename(from, to) }

// SyncDir implements ledgerDisk.
func (systemDisk) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
