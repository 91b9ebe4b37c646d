package webhook

import (
	"errors"
	"fmt"
	"io/fs"
)

// ConfigError is a webhook file that can't be read or used.
type ConfigError struct {
	File    string
	Setting string // as receiver.listen; "" where the file as a whole can't be read
	Err     error  // what is wrong, with the setting's name
}

// Error names the file and the setting.
func (e *ConfigError) Error() string {
	if isReadError(e.Err) {
		return "webhook file: " + e.Err.Error()
	}
	return fmt.Sprintf("webhook file %s: %v", e.File, e.Err)
}

// Unwrap returns what is wrong.
func (e *ConfigError) Unwrap() error { return e.Err }

// isReadError reports whether err is the system's error for a file that can't be read; its text names the file.
func isReadError(err error) bool {
	var pathError *fs.PathError
	return errors.As(err, &pathError)
}

// MalformedDeliveryError is an authenticated delivery whose payload can't be used; it is answered with 400.
type MalformedDeliveryError struct {
	Field string // the payload's field, as data.class; "" where the payload is not JSON
	Err   error  // what is wrong with it
}

// Error says what is wrong.
func (e *MalformedDeliveryError) Error() string { return e.Err.Error() }

// Unwrap returns what is wrong.
func (e *MalformedDeliveryError) Unwrap() error { return e.Err }

// malformedField returns the error of a field that can't be used.
func malformedField(field, problem string) error {
	return &MalformedDeliveryError{Field: field, Err: errors.New(problem)}
}
