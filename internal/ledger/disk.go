package ledger

import (
	"io"
	"os"
)

// File is an open file of the ledger; an os.File is one.
type File interface {
	io.ReadWriteCloser
	Sync() error
	Truncate(size int64) error
}

// Disk is where a ledger is kept. Its methods block, and fail as the system's do. They are called on the goroutine that
// calls Open, and then on the writer's.
type Disk interface {
	// Open is os.OpenFile.
	Open(path string, flag int, mode os.FileMode) (File, error)
	// Rename is os.Rename.
	Rename(from, to string) error
	// SyncDir makes a rename in a directory durable.
	SyncDir(dir string) error
}

// SystemDisk is the disk of the system that the program runs on.
type SystemDisk struct{}

// Open implements Disk.
func (SystemDisk) Open(path string, flag int, mode os.FileMode) (File, error) {
	file, err := os.OpenFile(path, flag, mode)
	if err != nil {
		return nil, err // not a file that is nil
	}
	return file, nil
}

// Rename implements Disk.
func (SystemDisk) Rename(from, to string) error { return os.Rename(from, to) }

// SyncDir implements Disk.
func (SystemDisk) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
