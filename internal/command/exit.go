package command

import (
	"errors"
	"fmt"
	"io"
)

// exitStatus is the program's exit status.
type exitStatus int

// The exit statuses that commands return.
const (
	exitSuccess exitStatus = 0
	exitFinding exitStatus = 1 // faults, differences, a rejected request, a server that failed
	exitUsage   exitStatus = 2 // invalid arguments, or a file that a command can't read or can't use
)

// exitError is an error with the exit status that it causes.
type exitError struct {
	status exitStatus
	err    error // nil if the command has already printed everything
}

// Error returns the text of the wrapped error, or "" if there is none.
func (e *exitError) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

// Unwrap returns the wrapped error, or nil.
func (e *exitError) Unwrap() error { return e.err }

// errFinding is returned by a command that has already printed its findings.
var errFinding = &exitError{status: exitFinding}

// usageError returns an error for invalid arguments.
func usageError(format string, args ...any) error {
	return &exitError{exitUsage, fmt.Errorf(format, args...)}
}

// inputError returns an error for a file or another input that is invalid or can't be read.
func inputError(err error) error { return &exitError{exitUsage, err} }

// reportError prints the error that a command returned, if any, and returns the exit status. An error without a status
// of its own counts as a finding.
func reportError(w io.Writer, err error) exitStatus {
	if err == nil {
		return exitSuccess
	}
	exit := &exitError{exitFinding, err}
	errors.As(err, &exit)
	if exit.err != nil {
		fmt.Fprintf(w, "crankhold: %v\n", exit.err)
	}
	return exit.status
}
