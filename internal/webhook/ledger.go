package webhook

import (
	"bufio"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// Why an order can't be entered.
var (
	errLedgerFull   = errors.New("ledger is full")
	errLedgerBroken = errors.New("ledger is out of use after a failed write")
)

// ledgerEntry is a line of the ledger: what became of an order.
type ledgerEntry struct {
	ID         string    `json:"id"`
	EventTime  time.Time `json:"at"`    // when the order's event happened
	BodyDigest string    `json:"sum"`   // of the payload
	State      string    `json:"state"` // begun, ended or freed
	Status     int       `json:"status,omitempty"`
	Body       []byte    `json:"body,omitempty"`
}

const (
	stateBegun = "begun" // it may run from now on
	stateEnded = "ended" // with this outcome
	stateFreed = "freed" // it is proven that it never ran
)

// ledger is the append-only record of orders that survives a restart. A begun line is on the disk
// before the order's first send; an order whose line is missing has never been sent. One goroutine
// writes it, off the loop. A line is a checksum, a space, JSON and a line end.
type ledger struct {
	path        string
	maxBytes    int64
	retention   time.Duration
	wallClock   func() time.Time
	file        *os.File
	lock        *os.File
	size        int64
	compactedAt time.Time
	broken      bool
	jobs        chan appendJob
	drained     chan struct{} // closed when the last line is written
}

// appendJob is a line to write; where done is set it is synced first.
type appendJob struct {
	entry ledgerEntry
	done  func(error)
}

const (
	ledgerQueue        = 256
	maxLedgerLine      = 64 << 10
	compactionInterval = time.Minute
)

// openLedger reads the ledger at path and writes it anew without what is older than retention.
func openLedger(path string, max int64, retention time.Duration, wall func() time.Time) (*ledger, []ledgerEntry, error) {
	l := &ledger{path: path, maxBytes: max, retention: retention, wallClock: wall, jobs: make(chan appendJob, ledgerQueue), drained: make(chan struct{})}
	var err error
	if l.lock, err = os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return nil, nil, fmt.Errorf("ledger: %w", err)
	}
	// Two programs on one ledger would not see each other's orders. The lock has a file of its own,
	// since the ledger's is replaced when it is written anew.
	if err = syscall.Flock(int(l.lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		l.lock.Close()
		return nil, nil, fmt.Errorf("ledger %s is in use: %w", path, err)
	}
	entries, err := l.compact()
	if err != nil {
		l.lock.Close()
		return nil, nil, fmt.Errorf("ledger: %w", err)
	}
	go l.run()
	return l, entries, nil
}

// compact replaces the file by one with only the last line of each order that is still retained.
func (l *ledger) compact() ([]ledgerEntry, error) {
	last, order := map[string]ledgerEntry{}, []string(nil)
	switch f, err := os.Open(l.path); {
	case err == nil:
		err = readEntries(f, func(e ledgerEntry) {
			if _, known := last[e.ID]; !known {
				order = append(order, e.ID)
			}
			last[e.ID] = e
		})
		f.Close()
		if err != nil {
			return nil, err
		}
	case !errors.Is(err, fs.ErrNotExist):
		return nil, err
	}
	var kept []ledgerEntry
	var text []byte
	for _, id := range order {
		if e := last[id]; e.State != stateFreed && l.wallClock().Sub(e.EventTime) <= l.retention {
			kept = append(kept, e)
			text = append(text, encodeEntry(e)...)
		}
	}
	fresh, err := os.OpenFile(l.path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	if _, err = fresh.Write(text); err == nil {
		err = fresh.Sync()
	}
	if err == nil {
		err = os.Rename(l.path+".new", l.path)
	}
	if err == nil {
		err = syncDir(filepath.Dir(l.path))
	}
	if err != nil {
		fresh.Close()
		return nil, err
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.size, l.compactedAt = fresh, int64(len(text)), l.wallClock()
	return kept, nil
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

func encodeEntry(e ledgerEntry) []byte {
	text, err := json.Marshal(e)
	if err != nil {
		panic(err) // of strings, numbers and bytes: it can't fail
	}
	return fmt.Appendf(nil, "%08x %s\n", crc32.ChecksumIEEE(text), text)
}

// readEntries calls f for each line. A last line that was cut short was never synced, so nothing was sent
// for it; damage anywhere else leaves it open which orders ran, and is an error.
func readEntries(r io.Reader, f func(ledgerEntry)) error {
	in := bufio.NewReaderSize(r, maxLedgerLine)
	for n := 1; ; n++ {
		text, err := in.ReadSlice('\n')
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		var crc [4]byte
		var e ledgerEntry
		if len(text) < 10 {
			return fmt.Errorf("line %d: damaged", n)
		}
		_, err = hex.Decode(crc[:], text[:8])
		body := text[9 : len(text)-1]
		if err == nil && fmt.Sprintf("%x", crc) != fmt.Sprintf("%08x", crc32.ChecksumIEEE(body)) {
			err = errors.New("damaged")
		}
		if err == nil {
			err = json.Unmarshal(body, &e)
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		f(e)
	}
}

// begin enters an order; done is called off the loop once it is on the disk, or can't be.
func (l *ledger) begin(e ledgerEntry, done func(error)) {
	e.State = stateBegun
	select {
	case l.jobs <- appendJob{entry: e, done: done}:
	default:
		done(errLedgerFull)
	}
}

// settle enters what became of an order. Should it be lost, the order counts as one that may have
// run, and is never run again.
func (l *ledger) settle(e ledgerEntry) {
	select {
	case l.jobs <- appendJob{entry: e}:
	default:
		slog.Warn("ledger_entry_dropped", "id", e.ID, "state", e.State)
	}
}

// run writes what has been entered, as many lines as there are with one sync.
func (l *ledger) run() {
	defer close(l.drained)
	var batch []appendJob
	for j := range l.jobs {
		batch = append(batch[:0], j)
		for more := true; more; {
			select {
			case j, more = <-l.jobs:
				if more {
					batch = append(batch, j)
				}
			default:
				more = false
			}
		}
		l.write(batch)
	}
}

// write appends a batch and then tells each who waits how its line fared.
func (l *ledger) write(batch []appendJob) {
	errs := make([]error, len(batch))
	sync := false
	for i, j := range batch {
		errs[i] = l.append(j.entry)
		sync = sync || errs[i] == nil && j.done != nil
	}
	if sync {
		if err := l.file.Sync(); err != nil { // what is on the disk is unknown from here on
			l.broken = true
			for i := range errs {
				errs[i] = errors.Join(errs[i], err)
			}
		}
	}
	for i, j := range batch {
		if errs[i] != nil {
			slog.Error("ledger_write_failed", "id", j.entry.ID, "err", errs[i])
		}
		if j.done != nil {
			j.done(errs[i])
		}
	}
}

func (l *ledger) append(e ledgerEntry) error {
	if l.broken {
		return errLedgerBroken
	}
	text := encodeEntry(e)
	if l.size+int64(len(text)) > l.maxBytes {
		// Not at each order that finds it full: that would have the whole file written every time.
		if l.wallClock().Sub(l.compactedAt) < compactionInterval {
			return errLedgerFull
		}
		if _, err := l.compact(); err != nil {
			l.broken = true
			return err
		}
		if l.size+int64(len(text)) > l.maxBytes {
			return errLedgerFull
		}
	}
	if _, err := l.file.Write(text); err != nil {
		l.broken = true
		return err
	}
	l.size += int64(len(text))
	return nil
}

// close writes what was entered, and lets others open the ledger.
func (l *ledger) close() error {
	close(l.jobs)
	<-l.drained
	err := l.file.Sync()
	return errors.Join(err, l.file.Close(), l.lock.Close())
}
