package webhook

import (
	"errors"
	"fmt"
	"io/fs"
)

// ConfigError is the error of a webhook file that can't be read or has an invalid setting.
type ConfigError struct {
	File    string
	Setting string // such as receiver.listen; "" if the file can't be read or decoded
	Err     error  // the cause; its text names the setting
}

// Error returns a text that names the file and the setting.
func (e *ConfigError) Error() string {
	if isReadError(e.Err) {
		return "webhook file: " + e.Err.Error()
	}
	return fmt.Sprintf("webhook file %s: %v", e.File, e.Err)
}

// Unwrap returns the cause.
func (e *ConfigError) Unwrap() error { return e.Err }

// isReadError reports whether err is the system's error for a file that can't be read. The text of such an error
// already names the file.
func isReadError(err error) bool {
	var pathError *fs.PathError
	return errors.As(err, &pathError)
}

// MalformedDeliveryError is the error of an authenticated delivery whose payload is invalid. The response is 400.
type MalformedDeliveryError struct {
	Field string // the payload's field, such as data.class; "" if the payload is not JSON
	Err   error  // the cause
}

// Error returns the text of the cause.
func (e *MalformedDeliveryError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *MalformedDeliveryError) Unwrap() error { return e.Err }

// malformedField returns the error of a payload with an invalid field.
func malformedField(field, problem string) error {
	return &MalformedDeliveryError{Field: field, Err: errors.New(problem)}
}
