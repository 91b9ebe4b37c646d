package ledger

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"syscall"
	"time"
)

// Ledger is the interface of the write-ahead log to the rest of the program. It queues entries, which the writer's
// goroutine appends to the file. The goroutine runs and the file is locked from Open until Close.
type Ledger struct {
	queue  *jobQueue
	writer *writer
	lock   *os.File
}

// Options holds the parameters of Open.
type Options struct {
	Config Config
	// Now is the present time, from which Open computes which orders are still retained. Later times are passed with
	// the entries.
	Now time.Time
	// Disk provides the file operations; nil means SystemDisk.
	Disk Disk
	// Logger logs failures and recoveries of the file; nil means slog.Default().
	Logger *slog.Logger
}

// Open locks the ledger, reads its content, compacts it and starts the writer. It blocks on file I/O and must not be
// called on the event loop. If the compacted file can't be written, Open still succeeds, but no order is recorded until
// the file has recovered. Its errors are InUseErrors and FileErrors.
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

// lockFile takes the lock that keeps two processes from using the same ledger: they would not see each other's orders.
// The lock is on a separate file, because compaction replaces the ledger file.
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

// Begin records, at the time now, that an order is about to be forwarded. It does not block. It calls done exactly
// once, with nil when the entry is on the disk, or with the error that prevented it. done is called on the writer's
// goroutine or, if maxQueuedBegins orders are waiting already, before Begin returns. After an error (ErrFull,
// ErrUnavailable or a FileError) the order must not be forwarded. If a part of its entry may be on the disk, the writer
// records that the order did not run.
func (l *Ledger) Begin(entry Entry, now time.Time, done func(error)) {
	entry.State = Begun
	if !l.queue.push(job{entry: entry, now: now, done: done}) {
		done(ErrFull)
	}
}

// Update records, at the time now, a new state of an order. It does not block: the entry is written as soon as the disk
// accepts it. If the process exits before that, the order counts as one that may have run, and is never run again.
func (l *Ledger) Update(entry Entry, now time.Time) { l.queue.push(job{entry: entry, now: now}) }

// Counters returns the counts since the ledger was opened.
func (l *Ledger) Counters() Counters { return l.writer.counters.load() }

// Close stops the writer's goroutine after it has written all entries, and releases the ledger's lock. It blocks on the
// disk and must not be called on the event loop. Neither Begin nor Update may be called after it. Its error wraps
// ErrUnavailable if entries could not be written and are lost.
func (l *Ledger) Close() error {
	l.queue.close()
	return errors.Join(l.writer.close(), l.lock.Close())
}
