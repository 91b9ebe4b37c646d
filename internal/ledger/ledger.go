package ledger

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"syscall"
	"time"
)

// Ledger is the part of the write-ahead log that its user calls. It queues entries; the writer's goroutine, which lives
// from Open until Close, appends them to the file. The file's lock is held as long.
type Ledger struct {
	queue  *jobQueue
	writer *writer
	lock   *os.File
}

// Options are the parts that a Ledger works with.
type Options struct {
	Config Config
	// Now is the time by which retention counts at the start. Later times come with the entries.
	Now time.Time
	// Disk is where the file is kept; nil: the system's.
	Disk Disk
	// Logger logs failures of the file and recoveries; nil: slog.Default().
	Logger *slog.Logger
}

// Open locks the ledger, reads what it holds, compacts it and starts the writer. It blocks on file I/O and must not be
// called on the event loop. Where the disk fails to take the compacted file, the ledger opens all the same, and records
// no order until it does. Its errors are InUseErrors and FileErrors.
func Open(options Options) (*Ledger, Content, error) {
	lock, err := lockFile(options.Config.Path)
	if err != nil {
		return nil, Content{}, err
	}
	queue := newJobQueue()
	writer := newWriter(options, queue)
	content, err := writer.open()
	if err != nil {
		lock.Close()
		return nil, Content{}, fmt.Errorf("ledger: %w", err)
	}
	go writer.run()
	return &Ledger{queue: queue, writer: writer, lock: lock}, content, nil
}

// lockFile takes the lock that keeps two processes from using one ledger: they would not see each other's orders. It is
// a file of its own, since compaction replaces the ledger's.
func lockFile(path string) (*os.File, error) {
	lock, err := os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", &FileError{Path: path, Err: err})
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, &InUseError{Path: path, Err: err}
	}
	return lock, nil
}

// Begin records an order that is about to be forwarded, at the time now. It does not block. Done is called once, when
// the entry is on the disk or with the error for which it is not: on the writer's goroutine, or before Begin returns
// where maxQueuedBegins orders wait already. After an error (ErrFull, ErrUnavailable or a FileError) the order must not
// be forwarded; where a part of its entry may be on the disk, the writer records that it did not run.
func (l *Ledger) Begin(entry Entry, now time.Time, done func(error)) {
	entry.State = Begun
	if !l.queue.push(job{entry: entry, now: now, done: done}) {
		done(ErrFull)
	}
}

// Update records what became of an order, as soon as the disk takes it. It does not block. Should the entry be lost
// with the program, the order counts as one that may have run, and is never run again.
func (l *Ledger) Update(entry Entry, now time.Time) { l.queue.push(job{entry: entry, now: now}) }

// Counters returns the counters since the ledger was opened.
func (l *Ledger) Counters() Counters { return l.writer.counters.load() }

// Close ends the writer's goroutine when all entries are written, and lets others open the ledger. It blocks on the
// disk and must not be called on the event loop. Neither Begin nor Update may be called after it. Its error wraps
// ErrUnavailable where entries could not be written and are lost.
func (l *Ledger) Close() error {
	l.queue.close()
	return errors.Join(l.writer.close(), l.lock.Close())
}
