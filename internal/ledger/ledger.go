package ledger

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	ledgerQueueLength  = 256         // orders that wait to be recorded; further ones are rejected
	compactionInterval = time.Minute // the least time between two compactions of a full ledger
)

// Ledger is the append-only record of orders that survives a restart. An order's first entry is on the disk before the
// order is first forwarded, so an order without an entry has never been forwarded. One goroutine writes the file, from
// Open until close. After a failed write or sync no order is recorded until the file is whole again; what became
// of orders meanwhile is kept and written then.
type Ledger struct {
	path      string
	maxBytes  int64
	retention time.Duration
	disk      Disk
	lock      *os.File
	wake      chan struct{} // holds one value where something is queued
	stopped   chan struct{} // closed when the last entry is written
	counters  counters

	mu     sync.Mutex
	queue  []appendJob
	begins int // orders in queue
	closed bool

	// Owned by the goroutine that writes.
	file        File      // nil: none could be opened yet
	size        int64     // of what is known to be good in it; what follows is torn
	now         time.Time // of the latest job
	compactedAt time.Time
	failure     ledgerFailure
	unwritten   []Entry // that are owed to the file since it failed, in their order
}

// counters count what became of the file. They may be read by any goroutine.
type counters struct{ failures, recoveries, unwritten atomic.Uint64 }

// appendJob is an entry to write. Where done is set the entry is synced, and done is called on the writing goroutine.
type appendJob struct {
	entry Entry
	now   time.Time // when the entry was made; moves the ledger's clock on
	done  func(error)
}

// Open locks the ledger, recovers its entries as of now and compacts it. Where the disk fails to take the
// compacted file, the ledger opens all the same, and records no order until it does.
func Open(config Config, now time.Time, disk Disk) (*Ledger, Content, error) {
	lock, err := lockLedger(config.Path)
	if err != nil {
		return nil, Content{}, err
	}
	l := &Ledger{
		path:      config.Path,
		maxBytes:  config.MaxBytes,
		retention: config.Retention,
		disk:      disk,
		lock:      lock,
		wake:      make(chan struct{}, 1),
		stopped:   make(chan struct{}),
		now:       now,
	}
	content, err := l.read(wholeFile)
	if err != nil {
		lock.Close()
		return nil, Content{}, fmt.Errorf("ledger: %w", err)
	}
	l.size = content.size
	l.retain(&content)
	if err := l.replace(content); err != nil {
		l.failed(err, contentUnknown)
	}
	go l.run()
	return l, content, nil
}

// Counters count what became of the ledger's file: failed writes and syncs, recoveries, and entries that are owed
// to it now.
type Counters struct{ Failures, Recoveries, Unwritten uint64 }

// Counters returns the counters since the ledger was opened.
func (l *Ledger) Counters() Counters {
	counters := &l.counters
	return Counters{counters.failures.Load(), counters.recoveries.Load(), counters.unwritten.Load()}
}

// lockLedger takes the lock that keeps two processes from using one ledger: they would not see each other's orders. It
// is a file of its own, since compaction replaces the ledger's.
func lockLedger(path string) (*os.File, error) {
	lock, err := os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR, ledgerFileMode)
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", &FileError{Path: path, Err: err})
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, &InUseError{Path: path, Err: err}
	}
	return lock, nil
}

// Begin records an order that is about to be forwarded. Done is called, on any goroutine, when the entry is on the disk
// or can't be.
func (l *Ledger) Begin(e Entry, now time.Time, done func(error)) {
	e.State = Begun
	if !l.enqueue(appendJob{entry: e, now: now, done: done}) {
		done(errLedgerFull)
	}
}

// Update records what became of an order, as soon as the disk takes it. Should the entry be lost with the program, the
// order counts as one that may have run, and is never run again.
func (l *Ledger) Update(e Entry, now time.Time) { l.enqueue(appendJob{entry: e, now: now}) }

// enqueue queues a job, and reports whether it did: of orders that are about to be forwarded only so many wait. There
// are no more updates than orders.
func (l *Ledger) enqueue(job appendJob) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if job.done != nil {
		if l.begins >= ledgerQueueLength {
			return false
		}
		l.begins++
	}
	l.queue = append(l.queue, job)
	l.signal()
	return true
}

func (l *Ledger) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// take returns what is queued, and whether nothing more will be.
func (l *Ledger) take() (batch []appendJob, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch = l.queue
	l.queue = nil
	l.begins = 0
	return batch, l.closed
}

// run writes entries until the ledger is closed, as many as there are with one sync.
func (l *Ledger) run() {
	defer close(l.stopped)
	for {
		select {
		case <-l.wake:
		case <-l.failure.retryAfter():
		}
		batch, closed := l.take()
		if closed {
			l.failure.retryNow()
		}
		for _, job := range batch {
			if job.now.After(l.now) {
				l.now = job.now
			}
		}
		l.recoverIfDue()
		l.writeBatch(batch)
		if closed {
			return
		}
	}
}

// writeBatch appends a batch of entries, syncs them if somebody waits for one of them, and reports how each fared.
func (l *Ledger) writeBatch(batch []appendJob) {
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
			l.failed(&FileError{Path: l.path, Err: err}, contentUnknown)
			for i := range errs {
				errs[i] = errors.Join(errs[i], &FileError{Path: l.path, Err: err})
			}
		}
	}
	for i, job := range batch {
		if errs[i] != nil {
			l.keepUnwritten(job, errs[i])
		}
		if job.done != nil {
			job.done(errs[i])
		}
	}
}

// keepUnwritten keeps what is owed of an entry that failed: of an order that was not recorded, and is so rejected, that
// it never ran, since a part of its entry may be on the disk; else the entry itself.
func (l *Ledger) keepUnwritten(job appendJob, err error) {
	slog.Error("ledger_write_failed", slog.String("id", job.entry.ID), slog.Any("err", err))
	entry := job.entry
	if job.done != nil {
		if !l.failure.unresolved() {
			return // the ledger is full: nothing of it was written
		}
		entry.State = Freed
	}
	l.unwritten = append(l.unwritten, entry)
	l.counters.unwritten.Store(uint64(len(l.unwritten)))
	if !l.failure.unresolved() {
		l.failed(err, contentKnown) // full: an outcome has to wait for room too
	}
}

// writeEntry appends an entry to the file, without a sync. A full ledger is compacted first.
func (l *Ledger) writeEntry(e Entry) error {
	if l.failure.unresolved() {
		return errLedgerBroken
	}
	line := encodeEntry(e)
	if !l.hasCapacity(line) {
		if err := l.compactForCapacity(line); err != nil {
			return err
		}
	}
	if _, err := l.file.Write(line); err != nil {
		err = &FileError{Path: l.path, Err: err}
		l.failed(err, contentKnown)
		return err
	}
	l.size += int64(len(line))
	return nil
}

func (l *Ledger) hasCapacity(line []byte) bool {
	return l.size+int64(len(line)) <= l.maxBytes
}

// compactForCapacity compacts the ledger, though not for each order that finds it full: the whole file would be written
// every time.
func (l *Ledger) compactForCapacity(line []byte) error {
	if l.now.Sub(l.compactedAt) < compactionInterval {
		return errLedgerFull
	}
	if err := l.compact(); err != nil {
		l.failed(err, contentUnknown)
		return err
	}
	if !l.hasCapacity(line) {
		return errLedgerFull
	}
	return nil
}

// Close ends the goroutine when all entries are written, and lets others open the ledger.
func (l *Ledger) Close() error {
	l.mu.Lock()
	l.closed = true
	l.signal()
	l.mu.Unlock()
	<-l.stopped
	var err error
	if len(l.unwritten) > 0 {
		err = fmt.Errorf("%d entries are lost: %w", len(l.unwritten), errLedgerBroken)
	}
	if l.file != nil {
		err = errors.Join(err, l.file.Sync(), l.file.Close())
	}
	return errors.Join(err, l.lock.Close())
}
