package ledger

import (
	"errors"
	"fmt"
)

// FileError reports that a ledger file can't be read or written.
type FileError struct {
	Path string
	Line int // counted from 1; 0 if the error concerns no single line
	Err  error
}

// Error names the line, if there is one. It does not add the path: errors of the operating system contain it already.
func (e *FileError) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("line %d: %v", e.Line, e.Err)
	}
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// InUseError reports that another process has the ledger open.
type InUseError struct {
	Path string
	Err  error
}

// Error names the file.
func (e *InUseError) Error() string {
	return fmt.Sprintf("ledger %s is in use: %v", e.Path, e.Err)
}

// Unwrap returns the error of the operating system.
func (e *InUseError) Unwrap() error { return e.Err }

// Errors for orders that can't be recorded.
var (
	// ErrFull reports that the file or the queue has no capacity for the order.
	ErrFull = errors.New("ledger is full")
	// ErrUnavailable reports that the file has failed and has not recovered yet.
	ErrUnavailable = errors.New("ledger is unavailable until its file has recovered")
)

// errDamagedLine reports a line that is too short or whose checksum differs.
var errDamagedLine = errors.New("damaged")
