package webhook

import (
	"os"
	"sync"
	"syscall"

	"crankhold/internal/ledger"
)

// faultyDisk is the system's disk with faults that a test can inject. It may be used on any goroutine.
type faultyDisk struct {
	ledger.SystemDisk
	mu        sync.Mutex
	openFails bool        // no file can be opened for writing
	opened    ledger.File // the file that was last opened for writing
}

// Open implements ledger.Disk.
func (d *faultyDisk) Open(path string, flag int, mode os.FileMode) (ledger.File, error) {
	if flag == os.O_RDONLY {
		return d.SystemDisk.Open(path, flag, mode)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.openFails {
		return nil, &os.PathError{Op: "open", Path: path, Err: syscall.ENOSPC}
	}
	file, err := d.SystemDisk.Open(path, flag, mode)
	d.opened = file
	return file, err
}

// failOpenFile makes every write and sync of the open file fail from now on, by closing it. Files can still be opened.
func (d *faultyDisk) failOpenFile() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opened.Close()
}

// failPermanently makes every write and sync of the open file fail from now on, and opening another file for writing.
func (d *faultyDisk) failPermanently() {
	d.failOpenFile()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.openFails = true
}
