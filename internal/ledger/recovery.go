package ledger

import "log/slog"

// recordFailure records a failure of the file. Nothing is appended to the file until it has recovered.
func (w *writer) recordFailure(err error, content contentState) {
	if !w.failure.pending {
		w.logger.Error("ledger_failed", slog.String("ledger", w.file.path), slog.Any("err", err))
	}
	w.counters.failures.Add(1)
	w.failure.add(content)
}

// recoverIfDue tries to recover the file if a retry is due.
func (w *writer) recoverIfDue() {
	if !w.failure.retryDue() {
		return
	}
	if err := w.restoreFile(); err != nil {
		w.recordFailure(err, contentKnown)
		return
	}
	w.failure = fileFailure{}
	w.counters.recoveries.Add(1)
	w.counters.unwritten.Store(0)
	w.logger.Info("ledger_recovered", slog.String("ledger", w.file.path), slog.Int("entries", len(w.unwritten)))
	w.unwritten = nil
}

// restoreFile truncates torn writes, or rewrites the whole file, and then appends the unwritten entries. When it
// returns without an error, all of this is on the disk.
func (w *writer) restoreFile() error {
	if w.failure.content == contentUnknown || w.file.truncateTorn() != nil {
		if err := w.rewriteFile(); err != nil {
			return err
		}
	}
	return w.appendUnwritten()
}

// rewriteFile compacts the file. If this fails, the file may have been renamed without the rename being on the disk, so
// the next attempt rewrites the file again.
func (w *writer) rewriteFile() error {
	err := w.compact()
	if err != nil {
		w.failure.content = contentUnknown
	}
	return err
}

// appendUnwritten appends the unwritten entries and syncs the file. The file is compacted first if it lacks capacity.
func (w *writer) appendUnwritten() error {
	var lines []byte
	for _, entry := range w.unwritten {
		lines = append(lines, encodeEntry(entry)...)
	}
	if !w.file.hasCapacity(lines) {
		if err := w.rewriteFile(); err != nil {
			return err
		}
		if !w.file.hasCapacity(lines) {
			return ErrFull
		}
	}
	if err := w.file.write(lines); err != nil {
		return err
	}
	if err := w.file.sync(); err != nil {
		w.failure.content = contentUnknown
		return err
	}
	w.file.size += int64(len(lines)) // after the sync, because until then the lines may have to be written again
	return nil
}
