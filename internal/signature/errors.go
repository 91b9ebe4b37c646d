package signature

import (
	"errors"
	"fmt"
	"io/fs"
)

// KeyError is the error of a key file that can't be read or has invalid content. Its text never contains any part of
// the key.
type KeyError struct {
	File string
	Err  error
}

// Error returns a text that names the file.
func (e *KeyError) Error() string {
	if isReadError(e.Err) {
		return "key: " + e.Err.Error()
	}
	return fmt.Sprintf("key %s: %v", e.File, e.Err)
}

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Err }

// isReadError reports whether err is the system's error for a file that can't be read. The text of such an error
// already names the file.
func isReadError(err error) bool {
	var pathError *fs.PathError
	return errors.As(err, &pathError)
}
