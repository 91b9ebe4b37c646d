package webhook

import (
	"os"
	"sync"
	"syscall"

	"crankhold/internal/ledger"
)

// faultyDisk is the system's disk, until a test has it fail. It may be used by any goroutine.
type faultyDisk struct {
	ledger.SystemDisk
	mu        sync.Mutex
	openFails bool        // no file can be written any more
	opened    ledger.File // for writing, last
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

// failOpenFile has every write and sync of the open file fail from now on. Another file can be opened.
func (d *faultyDisk) failOpenFile() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opened.Close()
}

// failPermanently has every write and sync failPermanently from now on, and every attempt to open another file.
func (d *faultyDisk) failPermanently() {
	d.failOpenFile()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.openFails = true
}
