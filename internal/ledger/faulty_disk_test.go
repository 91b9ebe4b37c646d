package ledger

import (
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
)

// faultyDisk is a SystemDisk with injected faults. While failing is set, two of three operations fail at random.
type faultyDisk struct {
	SystemDisk
	mu      sync.Mutex
	random  *rand.Rand
	failing bool
	failed  int // number of failed operations
}

// nextError returns the error of the next operation, or nil if it succeeds.
func (d *faultyDisk) nextError() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.failing || d.random.IntN(3) == 0 {
		return nil
	}
	d.failed++
	return []error{syscall.ENOSPC, syscall.EIO, syscall.EDQUOT}[d.random.IntN(3)]
}

func (d *faultyDisk) setFailing(failing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failing = failing
}

func (d *faultyDisk) Open(path string, flag int, mode os.FileMode) (File, error) {
	if flag != os.O_RDONLY {
		if err := d.nextError(); err != nil {
			return nil, &os.PathError{Op: "open", Path: path, Err: err}
		}
	}
	file, err := d.SystemDisk.Open(path, flag, mode)
	if err != nil {
		return nil, err
	}
	return &faultyFile{File: file, disk: d}, nil
}

func (d *faultyDisk) Rename(from, to string) error {
	if err := d.nextError(); err != nil {
		return err
	}
	return d.SystemDisk.Rename(from, to)
}

func (d *faultyDisk) SyncDir(dir string) error {
	if err := d.nextError(); err != nil {
		return err
	}
	return d.SystemDisk.SyncDir(dir)
}

// faultyFile is a file on a faultyDisk. A write that fails still writes a part of its bytes.
type faultyFile struct {
	File
	disk *faultyDisk
}

func (f *faultyFile) Write(b []byte) (int, error) {
	if err := f.disk.nextError(); err != nil {
		n, _ := f.File.Write(b[:len(b)*2/3])
		return n, err
	}
	return f.File.Write(b)
}

func (f *faultyFile) Sync() error {
	if err := f.disk.nextError(); err != nil {
		return err
	}
	return f.File.Sync()
}

func (f *faultyFile) Truncate(size int64) error {
	if err := f.disk.nextError(); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

// unsyncedDisk is a SystemDisk on which renames succeed, but the next syncs of directories fail.
type unsyncedDisk struct {
	SystemDisk
	mu                sync.Mutex
	remainingFailures int // how many further syncs of directories fail
	syncs             int // syncs of directories, including failed ones
}

func (d *unsyncedDisk) SyncDir(dir string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncs++
	if d.remainingFailures > 0 {
		d.remainingFailures--
		return syscall.EIO
	}
	return d.SystemDisk.SyncDir(dir)
}
