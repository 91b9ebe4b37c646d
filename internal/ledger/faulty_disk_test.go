package ledger

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// faultyDisk is the system's disk, of which single operations fail while it is ill.
type faultyDisk struct {
	SystemDisk
	mu     sync.Mutex
	random *rand.Rand
	ill    bool
	failed int
}

// fails reports whether the next operation fails, and how.
func (d *faultyDisk) fails() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ill || d.random.IntN(3) == 0 {
		return nil
	}
	d.failed++
	return []error{syscall.ENOSPC, syscall.EIO, syscall.EDQUOT}[d.random.IntN(3)]
}

func (d *faultyDisk) setIll(ill bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ill = ill
}

func (d *faultyDisk) Open(path string, flag int, mode os.FileMode) (File, error) {
	if flag != os.O_RDONLY {
		if err := d.fails(); err != nil {
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
	if err := d.fails(); err != nil {
		return err
	}
	return d.SystemDisk.Rename(from, to)
}

func (d *faultyDisk) SyncDir(dir string) error {
	if err := d.fails(); err != nil {
		return err
	}
	return d.SystemDisk.SyncDir(dir)
}

// faultyFile is a file on a faulty disk. A write that fails leaves a part of its bytes.
type faultyFile struct {
	File
	disk *faultyDisk
}

func (f *faultyFile) Write(b []byte) (int, error) {
	if err := f.disk.fails(); err != nil {
		n, _ := f.File.Write(b[:len(b)*2/3])
		return n, err
	}
	return f.File.Write(b)
}

func (f *faultyFile) Sync() error {
	if err := f.disk.fails(); err != nil {
		return err
	}
	return f.File.Sync()
}

func (f *faultyFile) Truncate(size int64) error {
	if err := f.disk.fails(); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

// Whatever a disk does for a while, and whether or not the program ends meanwhile: an order that was recorded is known
// after a restart and never forgotten, and once the disk is well what became of each order is in the file, an order that
// was rejected being one that never ran.
func TestLedgerOnADiskThatFailsForAWhile(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 0))
			disk := &faultyDisk{random: rand.New(rand.NewPCG(seed, 1))}
			path := filepath.Join(t.TempDir(), "ledger")
			open := func() (*Ledger, map[string]State) {
				l, content, err := Open(Options{Config: testLedger(path), Now: noon, Disk: disk})
				if err != nil {
					t.Fatal(err)
				}
				states := map[string]State{}
				for _, entry := range content.Entries {
					states[entry.ID] = entry.State
				}
				return l, states
			}
			l, _ := open()
			want := map[string]State{} // of each order that was recorded, as it was told last
			rejected := map[string]bool{}
			for n := range 40 {
				disk.setIll(random.IntN(2) == 0)
				entry := Entry{ID: fmt.Sprint("order-", n), EventTime: noon}
				recorded := make(chan error, 1)
				l.Begin(entry, noon, func(err error) { recorded <- err })
				if <-recorded != nil {
					rejected[entry.ID] = true
					if random.IntN(2) == 0 {
						disk.setIll(false)
						awaitRecovery(t, l)
					}
				} else {
					want[entry.ID] = Begun
					if random.IntN(2) == 0 {
						entry.State = Ended
						l.Update(entry, noon)
						want[entry.ID] = Ended
					}
				}
				if random.IntN(10) == 0 { // the program ends while the disk is ill
					disk.setIll(true)
					l.Close()
					disk.setIll(random.IntN(2) == 0) // and starts again, maybe still
					var found map[string]State
					l, found = open()
					for id := range want {
						if found[id] == "" {
							t.Fatalf("%s was recorded and is forgotten", id)
						}
						want[id] = found[id] // an outcome that was lost stays "begun": it may have run
					}
					clear(rejected) // what the file has of them counts as begun
				}
			}
			disk.setIll(false)
			awaitRecovery(t, l)
			if err := l.Close(); err != nil {
				t.Fatal(err)
			}
			l, found := open()
			defer l.Close()
			for id, state := range want {
				if found[id] != state {
					t.Errorf("%s is %q, want %q", id, found[id], state)
				}
			}
			for id := range rejected {
				if found[id] != "" {
					t.Errorf("%s was rejected, and is %q", id, found[id])
				}
			}
			if disk.failed == 0 {
				t.Error("the disk never failed")
			}
		})
	}
}

// awaitRecovery waits until a ledger records orders.
func awaitRecovery(t *testing.T, l *Ledger) {
	t.Helper()
	for begun := time.Now(); time.Since(begun) < 20*time.Second; time.Sleep(5 * time.Millisecond) {
		recorded := make(chan error, 1)
		l.Begin(Entry{ID: "probe", EventTime: noon}, noon, func(err error) { recorded <- err })
		if <-recorded == nil {
			return
		}
	}
	t.Fatal("the ledger did not recover")
}

// unsyncedDisk is a disk on which a rename is made and its folder can't be synced, so often.
type unsyncedDisk struct {
	SystemDisk
	mu    sync.Mutex
	fails int
	asked int
}

func (d *unsyncedDisk) SyncDir(dir string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asked++
	if d.fails > 0 {
		d.fails--
		return syscall.EIO
	}
	return d.SystemDisk.SyncDir(dir)
}

// A rename whose folder can't be synced is made again before the ledger takes an order, also where it was made to find room
// for what is owed.
func TestRenameThatIsNotSyncedIsMadeAgain(t *testing.T) {
	disk := &unsyncedDisk{}
	config := testLedger(filepath.Join(t.TempDir(), "ledger"))
	l, _, err := Open(Options{Config: config, Now: noon, Disk: disk})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	owed := Entry{ID: "owed", EventTime: noon, State: Ended}
	old := encodeEntry(Entry{ID: "an earlier order", EventTime: noon, State: NotRun})
	w := l.writer
	l.queue.mu.Lock() // the writer waits for jobs, so its file may be filled here
	w.file.handle.Write(old)
	w.file.size += int64(len(old))
	w.file.maxBytes = w.file.size
	w.unwritten = []Entry{owed}
	disk.fails = 1
	before := disk.asked
	l.queue.mu.Unlock()
	if err := w.appendUnwritten(); err == nil {
		t.Fatal("a rename that is not synced counts")
	}
	if err := w.restoreFile(); err != nil {
		t.Fatal(err)
	}
	if disk.asked-before != 2 {
		t.Errorf("the folder was synced %d times", disk.asked-before)
	}
}
