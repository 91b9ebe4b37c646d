package signature

import (
	"errors"
	"fmt"
	"io/fs"
)

// KeyError is a key file that can't be read or used. Its text never holds any part of the key.
type KeyError struct {
	File string
	Err  error
}

// Error names the file.
func (e *KeyError) Error() string {
	if isReadError(e.Err) {
		return "key: " + e.Err.Error()
	}
	return fmt.Sprintf("key %s: %v", e.File, e.Err)
}

// Unwrap returns what is wrong.
func (e *KeyError) Unwrap() error { return e.Err }

// isReadError reports whether err is the system's error for a file that can't be read; its text names the file.
func isReadError(err error) bool {
	var pathError *fs.PathError
	return errors.As(err, &pathError)
}
