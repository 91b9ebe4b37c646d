package webhook

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"syscall"
	"time"
)

const (
	ledgerQueueLength  = 256         // entries that wait to be written
	compactionInterval = time.Minute // the least time between two compactions of a full ledger
)

// ledger is the append-only record of orders that survives a restart. An order's first entry is on the disk before the
// order is first forwarded, so an order without an entry has never been forwarded. One goroutine writes the file, from
// openLedger until close.
type ledger struct {
	path      string
	maxBytes  int64
	retention time.Duration
	wallClock func() time.Time
	lock      *os.File
	jobs      chan appendJob
	stopped   chan struct{} // closed when the last entry is written

	// Owned by the goroutine that writes.
	file        *os.File
	size        int64
	compactedAt time.Time
	broken      bool // what the file holds is unknown, so nothing more is written
}

// appendJob is an entry to write. Where done is set the entry is synced, and done is called on the writing goroutine.
type appendJob struct {
	entry ledgerEntry
	done  func(error)
}

// openLedger locks the ledger, recovers its entries and compacts it.
func openLedger(config LedgerConfig, wallClock func() time.Time) (*ledger, []ledgerEntry, error) {
	lock, err := lockLedger(config.Path)
	if err != nil {
		return nil, nil, err
	}
	l := &ledger{
		path:      config.Path,
		maxBytes:  config.MaxBytes,
		retention: config.Retention,
		wallClock: wallClock,
		lock:      lock,
		jobs:      make(chan appendJob, ledgerQueueLength),
		stopped:   make(chan struct{}),
	}
	entries, err := l.compact()
	if err != nil {
		lock.Close()
		return nil, nil, fmt.Errorf("ledger: %w", err)
	}
	go l.run()
	return l, entries, nil
}

// lockLedger takes the lock that keeps two processes from using one ledger: they would not see each other's orders. It
// is a file of its own, since compaction replaces the ledger's.
func lockLedger(path string) (*os.File, error) {
	lock, err := os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR, ledgerFileMode)
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", &LedgerError{Path: path, Err: err})
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, &LedgerInUseError{Path: path, Err: err}
	}
	return lock, nil
}

// begin records an order that is about to be forwarded. Done is called, on any goroutine, when the entry is on the disk
// or can't be.
func (l *ledger) begin(e ledgerEntry, done func(error)) {
	e.State = stateBegun
	select {
	case l.jobs <- appendJob{entry: e, done: done}:
	default:
		done(errLedgerFull)
	}
}

// update records what became of an order. Should the entry be lost, the order counts as one that may have run, and is
// never run again.
func (l *ledger) update(e ledgerEntry) {
	select {
	case l.jobs <- appendJob{entry: e}:
	default:
		slog.Warn("ledger_entry_dropped", slog.String("id", e.ID), slog.String("state", string(e.State)))
	}
}

// run writes entries until the ledger is closed, as many as there are with one sync.
func (l *ledger) run() {
	defer close(l.stopped)
	var batch []appendJob
	for job := range l.jobs {
		batch = append(batch[:0], job)
		batch = l.appendQueued(batch)
		l.writeBatch(batch)
	}
}

// appendQueued appends the jobs that are queued already.
func (l *ledger) appendQueued(batch []appendJob) []appendJob {
	for {
		select {
		case job, open := <-l.jobs:
			if !open {
				return batch
			}
			batch = append(batch, job)
		default:
			return batch
		}
	}
}

// writeBatch appends a batch of entries, syncs them if somebody waits for one of them, and reports how each fared.
func (l *ledger) writeBatch(batch []appendJob) {
	errs := make([]error, len(batch))
	syncNeeded := false
	for i, job := range batch {
		errs[i] = l.writeEntry(job.entry)
		if errs[i] == nil && job.done != nil {
			syncNeeded = true
		}
	}
	if syncNeeded {
		if err := l.file.Sync(); err != nil { // what is on the disk is unknown from here on
			l.broken = true
			for i := range errs {
				errs[i] = errors.Join(errs[i], &LedgerError{Path: l.path, Err: err})
			}
		}
	}
	for i, job := range batch {
		if errs[i] != nil {
			slog.Error("ledger_write_failed", slog.String("id", job.entry.ID), slog.Any("err", errs[i]))
		}
		if job.done != nil {
			job.done(errs[i])
		}
	}
}

// writeEntry appends an entry to the file, without a sync. A full ledger is compacted first.
func (l *ledger) writeEntry(e ledgerEntry) error {
	if l.broken {
		return errLedgerBroken
	}
	line := encodeEntry(e)
	if !l.hasRoom(line) {
		if err := l.makeRoom(line); err != nil {
			return err
		}
	}
	if _, err := l.file.Write(line); err != nil {
		l.broken = true
		return &LedgerError{Path: l.path, Err: err}
	}
	l.size += int64(len(line))
	return nil
}

func (l *ledger) hasRoom(line []byte) bool {
	return l.size+int64(len(line)) <= l.maxBytes
}

// makeRoom compacts the ledger, though not for each order that finds it full: the whole file would be written every time.
func (l *ledger) makeRoom(line []byte) error {
	if l.wallClock().Sub(l.compactedAt) < compactionInterval {
		return errLedgerFull
	}
	if _, err := l.compact(); err != nil {
		l.broken = true
		return err
	}
	if !l.hasRoom(line) {
		return errLedgerFull
	}
	return nil
}

// close ends the goroutine when all entries are written, and lets others open the ledger.
func (l *ledger) close() error {
	close(l.jobs)
	<-l.stopped
	err := l.file.Sync()
	return errors.Join(err, l.file.Close(), l.lock.Close())
}
