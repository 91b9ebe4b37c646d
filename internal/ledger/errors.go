package ledger

import (
	"errors"
	"fmt"
)

// FileError is a ledger file that can't be read or written.
type FileError struct {
	Path string
	Line int // counted from 1; 0 where no line is to blame
	Err  error
}

// Error names the line, if there is one. The system's errors name the file.
func (e *FileError) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("line %d: %v", e.Line, e.Err)
	}
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// InUseError is a ledger that another process has open.
type InUseError struct {
	Path string
	Err  error
}

// Error names the file.
func (e *InUseError) Error() string {
	return fmt.Sprintf("ledger %s is in use: %v", e.Path, e.Err)
}

// Unwrap returns the system's error.
func (e *InUseError) Unwrap() error { return e.Err }

// Errors of orders that can't be recorded.
var (
	// ErrFull is of an order for which the file or the queue has no capacity.
	ErrFull = errors.New("ledger is full")
	// ErrUnavailable is of an order that arrives after a failure of the file, from which it has not recovered yet.
	ErrUnavailable = errors.New("ledger is out of use until its file is whole again")
)

// errDamagedLine is of a line that is too short or has another checksum.
var errDamagedLine = errors.New("damaged")
