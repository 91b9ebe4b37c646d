package ledger

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"testing"
	"time"
)

// faultyDiskModel is a ledger on a faulty disk, with the content that it is expected to have.
type faultyDiskModel struct {
	t        *testing.T
	random   *rand.Rand
	disk     *faultyDisk
	path     string
	ledger   *Ledger
	want     map[string]State // the expected state of each order that was recorded
	rejected map[string]bool
}

// open opens the ledger and returns the states of the orders that it contains.
func (m *faultyDiskModel) open() map[string]State {
	m.t.Helper()
	l, content, err := Open(Options{Config: testConfig(m.path), Now: noon, Disk: m.disk})
	if err != nil {
		m.t.Fatal(err)
	}
	m.ledger = l
	states := map[string]State{}
	for _, entry := range content.Entries {
		states[entry.ID] = entry.State
	}
	return states
}

// recordOrder records an order and, at random, its outcome. After a rejection it repairs the disk at random.
func (m *faultyDiskModel) recordOrder(id string) {
	m.t.Helper()
	entry := Entry{ID: id, EventTime: noon}
	if beginOrder(m.ledger, entry) != nil {
		m.rejected[id] = true
		if m.random.IntN(2) == 0 {
			m.disk.setFailing(false)
			awaitRecovery(m.t, m.ledger)
		}
		return
	}
	m.want[id] = Begun
	if m.random.IntN(2) == 0 {
		entry.State = Ended
		m.ledger.Update(entry, noon)
		m.want[id] = Ended
	}
}

// restart closes the ledger while the disk fails and opens it again. The disk goes on failing at random.
func (m *faultyDiskModel) restart() {
	m.t.Helper()
	m.disk.setFailing(true)
	m.ledger.Close()
	m.disk.setFailing(m.random.IntN(2) == 0)
	found := m.open()
	for id := range m.want {
		if found[id] == "" {
			m.t.Fatalf("%s was recorded but is missing", id)
		}
		m.want[id] = found[id] // an order whose outcome was lost stays "begun": it may have run
	}
	clear(m.rejected) // entries of rejected orders that are in the file count as begun
}

// check repairs the disk and compares the content of the file with the expected one.
func (m *faultyDiskModel) check() {
	m.t.Helper()
	m.disk.setFailing(false)
	awaitRecovery(m.t, m.ledger)
	if err := m.ledger.Close(); err != nil {
		m.t.Fatal(err)
	}
	found := m.open()
	defer m.ledger.Close()
	for id, state := range m.want {
		if found[id] != state {
			m.t.Errorf("%s is %q, want %q", id, found[id], state)
		}
	}
	for id := range m.rejected {
		if found[id] != "" {
			m.t.Errorf("%s was rejected, but is %q", id, found[id])
		}
	}
}

// While the disk fails at random and the ledger is reopened at random, no recorded order is lost. Once the disk works
// again, the file contains the outcome of each recorded order, and rejected orders count as not run.
func TestLedgerRecoversFromDiskFailures(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			m := &faultyDiskModel{
				t:        t,
				random:   rand.New(rand.NewPCG(seed, 0)),
				disk:     &faultyDisk{random: rand.New(rand.NewPCG(seed, 1))},
				path:     filepath.Join(t.TempDir(), "ledger"),
				want:     map[string]State{},
				rejected: map[string]bool{},
			}
			m.open()
			for n := range 40 {
				m.disk.setFailing(m.random.IntN(2) == 0)
				m.recordOrder(fmt.Sprint("order-", n))
				if m.random.IntN(10) == 0 {
					m.restart()
				}
			}
			m.check()
			if m.disk.failed == 0 {
				t.Error("the disk never failed")
			}
		})
	}
}

// awaitRecovery waits until a ledger records orders again.
func awaitRecovery(t *testing.T, l *Ledger) {
	t.Helper()
	for start := time.Now(); time.Since(start) < 20*time.Second; time.Sleep(5 * time.Millisecond) {
		if beginOrder(l, Entry{ID: "probe", EventTime: noon}) == nil {
			return
		}
	}
	t.Fatal("the ledger did not recover")
}

// If a rename succeeds but its directory can't be synced, the file is rewritten and renamed again before the ledger
// records an order. This includes the compaction of a full file for the unwritten entries.
func TestUnsyncedRenameIsRepeated(t *testing.T) {
	disk := &unsyncedDisk{}
	config := testConfig(filepath.Join(t.TempDir(), "ledger"))
	l, _, err := Open(Options{Config: config, Now: noon, Disk: disk})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	unwritten := Entry{ID: "unwritten", EventTime: noon, State: Ended}
	old := encodeEntry(Entry{ID: "an earlier order", EventTime: noon, State: NotRun})
	w := l.writer
	l.queue.mu.Lock() // the writer waits for jobs, so the test may fill its file
	w.file.handle.Write(old)
	w.file.size += int64(len(old))
	w.file.maxBytes = w.file.size
	w.unwritten = []Entry{unwritten}
	disk.remainingFailures = 1
	before := disk.syncs
	l.queue.mu.Unlock()
	if err := w.appendUnwritten(); err == nil {
		t.Fatal("a rename that was not synced is reported as successful")
	}
	if err := w.restoreFile(); err != nil {
		t.Fatal(err)
	}
	if disk.syncs-before != 2 {
		t.Errorf("the directory was synced %d times", disk.syncs-before)
	}
}
