package config

import (
	"errors"
	"fmt"
	"io/fs"
)

// ErrNoFile is the error of Read if the environment names no configuration file.
var ErrNoFile = errors.New("EDGE_CONFIG names no file")

var errLimitsTooLow = errors.New("too little memory or too few sockets")

// FileError says why a configuration file can't be used as a whole.
type FileError struct {
	File string
	Err  error
}

// Error names the file once: errors of the file system name it themselves.
func (e *FileError) Error() string {
	var pathError *fs.PathError
	if errors.As(e.Err, &pathError) {
		return fmt.Sprintf("config: %v", e.Err)
	}
	return fmt.Sprintf("config %s: %v", e.File, e.Err)
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// FieldError says which field of a configuration file can't be used, and why.
type FieldError struct {
	File  string
	Field string // the JSON key
	Err   error
}

// Error names the file and the field.
func (e *FieldError) Error() string { return fmt.Sprintf("config %s: %s: %v", e.File, e.Field, e.Err) }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Err }

// MissingNameError says that an entry of a list in the settings has no name. A FileError wraps it.
type MissingNameError struct {
	Kind  string // of the entry: class or account
	Index int    // in its list
}

// Error names the entry by its index.
func (e *MissingNameError) Error() string { return fmt.Sprintf("%s %d has no name", e.Kind, e.Index) }
