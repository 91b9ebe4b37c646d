package config

import (
	"errors"
	"fmt"
	"io/fs"
)

// ErrNoFile is returned by Read if the environment variable EDGE_CONFIG is not set, or empty.
var ErrNoFile = errors.New("EDGE_CONFIG names no file")

var errLimitsTooLow = errors.New("too little memory or too few sockets")

// FileError reports a configuration file that can't be read or used. The wrapped error says why.
type FileError struct {
	File string
	Err  error
}

// Error returns a text that names the file once: errors of the file system already contain the name.
func (e *FileError) Error() string {
	var pathError *fs.PathError
	if errors.As(e.Err, &pathError) {
		return fmt.Sprintf("config: %v", e.Err)
	}
	return fmt.Sprintf("config %s: %v", e.File, e.Err)
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// FieldError reports an invalid field of a configuration file.
type FieldError struct {
	File  string
	Field string // the JSON key
	Err   error
}

// Error returns a text that names the file and the field.
func (e *FieldError) Error() string { return fmt.Sprintf("config %s: %s: %v", e.File, e.Field, e.Err) }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Err }

// MissingNameError reports an entry without a name in a list of the settings. Read returns it wrapped in a FileError.
type MissingNameError struct {
	Kind  string // kind of entry: class or account
	Index int    // position in the list, from 0
}

// Error returns a text that names the kind and the index of the entry.
func (e *MissingNameError) Error() string { return fmt.Sprintf("%s %d has no name", e.Kind, e.Index) }
