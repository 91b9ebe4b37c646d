package ledger

import (
	"errors"
	"fmt"
	"log/slog"
	"time"
)

// compactionInterval is the least time between two compactions of a full ledger: each writes the whole file.
const compactionInterval = time.Minute

// writer appends entries to the file, compacts it, and recovers it after failures. Its fields belong to its goroutine,
// which run is; before that, and after stopped is closed, to the one that opens or closes the ledger.
type writer struct {
	queue     *jobQueue
	file      *ledgerFile
	retention time.Duration // from an order's event
	logger    *slog.Logger
	counters  atomicCounters // read by any goroutine
	stopped   chan struct{}  // closed when the last entry is written

	now         time.Time // of the latest job; retention and compactionInterval count by it
	compactedAt time.Time
	failure     fileFailure
	unwritten   []Entry // that the file lacks since it failed, in their order
}

func newWriter(options Options, queue *jobQueue) *writer {
	disk := options.Disk
	if disk == nil {
		disk = SystemDisk{}
	}
	logger := options.Logger
	if logger == nil {
		logger = slog.Default()
	}
	return &writer{
		queue:     queue,
		file:      newLedgerFile(options.Config, disk),
		retention: options.Config.Retention,
		logger:    logger,
		stopped:   make(chan struct{}),
		now:       options.Now,
	}
}

// open reads the file and replaces it by a compacted one. A file that can't be replaced is recovered later.
func (w *writer) open() (Content, error) {
	content, size, err := w.file.read(noReadLimit)
	if err != nil {
		return Content{}, err
	}
	w.file.size = size
	content.dropUnretained(w.now.Add(-w.retention))
	if err := w.replaceFile(content); err != nil {
		w.recordFailure(err, contentUnknown)
	}
	return content, nil
}

// run writes entries until the queue is closed, with one sync for all that are queued.
func (w *writer) run() {
	defer close(w.stopped)
	for {
		select {
		case <-w.queue.wake:
		case <-w.failure.retryAfter():
		}
		batch, closed := w.queue.takeAll()
		if closed {
			w.failure.retryNow()
		}
		for _, job := range batch {
			w.advanceClock(job.now)
		}
		w.recoverIfDue()
		w.writeBatch(batch)
		if closed {
			return
		}
	}
}

// advanceClock sets the clock to a time, unless that is earlier.
func (w *writer) advanceClock(now time.Time) {
	if now.After(w.now) {
		w.now = now
	}
}

// writeBatch appends the entries of a batch, syncs them if somebody waits for one of them, and reports the result of
// each.
func (w *writer) writeBatch(batch []job) {
	results := make([]error, len(batch))
	syncNeeded := false
	for i, job := range batch {
		results[i] = w.appendEntry(job.entry)
		if results[i] == nil && job.done != nil {
			syncNeeded = true
		}
	}
	if syncNeeded {
		w.syncBatch(results)
	}
	for i, job := range batch {
		w.completeJob(job, results[i])
	}
}

// syncBatch syncs the file. If that fails, what is on the disk is unknown, and every entry of the batch has failed.
func (w *writer) syncBatch(results []error) {
	err := w.file.sync()
	if err == nil {
		return
	}
	w.recordFailure(err, contentUnknown)
	for i := range results {
		results[i] = errors.Join(results[i], err)
	}
}

// completeJob reports a job's result to the one who waits for it, and keeps what a failed job leaves to be written.
func (w *writer) completeJob(job job, result error) {
	if result != nil {
		w.logger.Error("ledger_write_failed", slog.String("id", job.entry.ID), slog.Any("err", result))
		w.keepUnwritten(job, result)
	}
	if job.done != nil {
		job.done(result)
	}
}

// keepUnwritten keeps the entry that has to be written in place of one that failed. An update is kept as it is. An
// order that could not be recorded is rejected, and a part of its entry may be on the disk: it is kept as one that did
// not run.
func (w *writer) keepUnwritten(job job, cause error) {
	entry := job.entry
	if job.done != nil {
		if !w.failure.pending {
			return // the ledger is full: nothing of the entry was written
		}
		entry.State = NotRun
	}
	w.unwritten = append(w.unwritten, entry)
	w.counters.unwritten.Store(uint64(len(w.unwritten)))
	if !w.failure.pending {
		w.recordFailure(cause, contentKnown) // the ledger is full: the update waits for capacity too
	}
}

// appendEntry appends an entry to the file, without a sync. A full ledger is compacted first.
func (w *writer) appendEntry(entry Entry) error {
	if w.failure.pending {
		return ErrUnavailable
	}
	line := encodeEntry(entry)
	if !w.file.hasCapacity(line) {
		if err := w.compactForCapacity(line); err != nil {
			return err
		}
	}
	if err := w.file.append(line); err != nil {
		w.recordFailure(err, contentKnown)
		return err
	}
	return nil
}

// compactForCapacity compacts the file so that it has capacity for a line, at most once a compactionInterval.
func (w *writer) compactForCapacity(line []byte) error {
	if w.now.Sub(w.compactedAt) < compactionInterval {
		return ErrFull
	}
	if err := w.compact(); err != nil {
		w.recordFailure(err, contentUnknown)
		return err
	}
	if !w.file.hasCapacity(line) {
		return ErrFull
	}
	return nil
}

// compact replaces the file by one that holds only the last entry of each order that is still retained.
func (w *writer) compact() error {
	content, _, err := w.file.read(w.file.size)
	if err != nil {
		return err
	}
	content.dropUnretained(w.now.Add(-w.retention))
	return w.replaceFile(content)
}

func (w *writer) replaceFile(content Content) error {
	if err := w.file.replace(content.encode()); err != nil {
		return err
	}
	w.compactedAt = w.now
	return nil
}

// close blocks until the goroutine has ended, and closes the file.
func (w *writer) close() error {
	<-w.stopped
	var err error
	if len(w.unwritten) > 0 {
		err = fmt.Errorf("%d entries are lost: %w", len(w.unwritten), ErrUnavailable)
	}
	return errors.Join(err, w.file.close())
}
