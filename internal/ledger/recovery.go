package ledger

import (
	"log/slog"
	"time"
)

// The first pause before a ledger that failed is tried again, and the longest.
const (
	firstLedgerPause   = 50 * time.Millisecond
	longestLedgerPause = 5 * time.Second
)

// fileState is what is known of the ledger's file after a failure.
type fileState uint8

const (
	contentKnown   fileState = iota // good up to ledger.size, and torn behind it
	contentUnknown                  // a sync failed: what the disk has is unknown, and has to be written anew
)

// ledgerFailure is a failure of the ledger's file that has not been mended yet.
type ledgerFailure struct {
	pending bool
	state   fileState
	pause   time.Duration
	retryAt time.Time
}

// unresolved reports whether the file has failed and is not whole again.
func (f *ledgerFailure) unresolved() bool { return f.pending }

// retryAfter returns a channel that delivers when the file is to be tried again; nil while there is no failure.
func (f *ledgerFailure) retryAfter() <-chan time.Time {
	if !f.pending {
		return nil
	}
	return time.After(time.Until(f.retryAt))
}

// retryNow makes a failure due.
func (f *ledgerFailure) retryNow() { f.retryAt = time.Time{} }

// add takes in a failure.
func (f *ledgerFailure) add(state fileState) {
	f.pause = min(max(2*f.pause, firstLedgerPause), longestLedgerPause)
	f.pending = true
	f.state = max(f.state, state)
	f.retryAt = time.Now().Add(f.pause)
}

// failed takes in a failure of the file, after which nothing is written to it until it has been mended.
func (l *Ledger) failed(err error, state fileState) {
	if !l.failure.pending {
		slog.Error("ledger_failed", slog.String("ledger", l.path), slog.Any("err", err))
	}
	l.counters.failures.Add(1)
	l.failure.add(state)
}

// recoverIfDue mends the file where that is due: it cuts off what is torn, or writes the file anew, and writes what is
// owed to it.
func (l *Ledger) recoverIfDue() {
	if !l.failure.pending || time.Now().Before(l.failure.retryAt) {
		return
	}
	if err := l.mend(); err != nil {
		l.failed(err, contentKnown)
		return
	}
	l.failure = ledgerFailure{}
	l.counters.recoveries.Add(1)
	l.counters.unwritten.Store(0)
	slog.Info("ledger_recovered", slog.String("ledger", l.path), slog.Int("entries", len(l.unwritten)))
	l.unwritten = nil
}

// mend makes the file whole, with what is owed to it on the disk.
func (l *Ledger) mend() error {
	if l.failure.state == contentUnknown || l.file == nil || l.cutTorn() != nil {
		if err := l.rewrite(); err != nil {
			return err
		}
	}
	return l.writeOwed()
}

// rewrite compacts the file. Where that fails, a rename may have been made that is not on the disk, so it is made
// again.
func (l *Ledger) rewrite() error {
	err := l.compact()
	if err != nil {
		l.failure.state = contentUnknown
	}
	return err
}

// cutTorn cuts off what follows the good part of the file.
func (l *Ledger) cutTorn() error { return l.file.Truncate(l.size) }

// writeOwed appends the entries that could not be written, and syncs the file.
func (l *Ledger) writeOwed() error {
	var lines []byte
	for _, entry := range l.unwritten {
		lines = append(lines, encodeEntry(entry)...)
	}
	if l.size+int64(len(lines)) > l.maxBytes {
		if err := l.rewrite(); err != nil {
			return err
		}
		if l.size+int64(len(lines)) > l.maxBytes {
			return errLedgerFull
		}
	}
	if len(lines) > 0 {
		if _, err := l.file.Write(lines); err != nil {
			return &FileError{Path: l.path, Err: err}
		}
	}
	if err := l.file.Sync(); err != nil {
		l.failure.state = contentUnknown
		return &FileError{Path: l.path, Err: err}
	}
	l.size += int64(len(lines))
	return nil
}
