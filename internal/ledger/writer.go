package ledger

import (
	"errors"
	"fmt"
	"log/slog"
	"time"
)

// compactionInterval is the minimum time between two compactions of a full ledger, because each writes the whole file.
const compactionInterval = time.Minute

// writer appends entries to the file, compacts it, and recovers it after failures. Its fields belong to the goroutine
// of run. Before that goroutine starts and after stopped is closed, they belong to the goroutine that opens or closes
// the ledger.
type writer struct {
	queue     *jobQueue
	file      *ledgerFile
	retention time.Duration // counted from an order's event
	logger    *slog.Logger
	counters  atomicCounters // may be read by any goroutine
	stopped   chan struct{}  // closed when run has returned

	now         time.Time // the latest time of a job; the clock for retention and compactionInterval
	compactedAt time.Time
	failure     fileFailure
	unwritten   []Entry // entries that could not be written since the file failed, oldest first
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

// open reads the file and replaces it by a compacted one. If the file can't be replaced, run recovers it later.
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

// run writes queued entries until the queue is closed. Entries that are queued together share one sync.
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

// advanceClock sets the writer's clock to now, unless that would move it back.
func (w *writer) advanceClock(now time.Time) {
	if now.After(w.now) {
		w.now = now
	}
}

// writeBatch appends the entries of a batch, syncs the file if a job of the batch has a done function, and reports the
// result of each job.
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

// syncBatch syncs the file. If this fails, the content on the disk is unknown, so every entry of the batch fails.
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

// completeJob passes the result of a job to its done function. If the job has failed, it keeps the entry that must
// still be written.
func (w *writer) completeJob(job job, result error) {
	if result != nil {
		w.logger.Error("ledger_write_failed", slog.String("id", job.entry.ID), slog.Any("err", result))
		w.keepUnwritten(job, result)
	}
	if job.done != nil {
		job.done(result)
	}
}

// keepUnwritten keeps the entry that must be written after a job has failed. An update is kept unchanged. If the failed
// job comes from Begin, the order is rejected while a part of its entry may be on the disk, so an entry is kept that
// says that the order did not run.
func (w *writer) keepUnwritten(job job, cause error) {
	entry := job.entry
	if job.done != nil {
		if !w.failure.pending {
			return // the ledger is full: no part of the entry was written
		}
		entry.State = NotRun
	}
	w.unwritten = append(w.unwritten, entry)
	w.counters.unwritten.Store(uint64(len(w.unwritten)))
	if !w.failure.pending {
		w.recordFailure(cause, contentKnown) // the ledger is full: the update waits until it has capacity
	}
}

// appendEntry appends an entry to the file without a sync. A full file is compacted first.
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

// compactForCapacity compacts the file to gain capacity for a line, at most once per compactionInterval.
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

// close waits until run has returned, and closes the file.
func (w *writer) close() error {
	<-w.stopped
	var err error
	if len(w.unwritten) > 0 {
		err = fmt.Errorf("%d entries are lost: %w", len(w.unwritten), ErrUnavailable)
	}
	return errors.Join(err, w.file.close())
}
