package command

import (
	"errors"
	"fmt"
	"io"
)

// exitStatus is the program's exit status.
type exitStatus int

// The exit statuses.
const (
	exitSuccess exitStatus = 0
	exitFinding exitStatus = 1 // faults, differences, a rejected request, a service that could not continue
	exitUsage   exitStatus = 2 // what could not be understood or read at all
)

// exitError is an error that carries the exit status.
type exitError struct {
	status exitStatus
	err    error // nil: the command has printed all that there is to say
}

// Error returns the text of the error within, or "" where there is none.
func (e *exitError) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

// Unwrap returns the error within.
func (e *exitError) Unwrap() error { return e.err }

// errFinding ends a command that has printed its findings.
var errFinding = &exitError{status: exitFinding}

// usageError ends a command whose arguments can't be understood.
func usageError(format string, args ...any) error {
	return &exitError{exitUsage, fmt.Errorf(format, args...)}
}

// inputError ends a command that can't read what it needs.
func inputError(err error) error { return &exitError{exitUsage, err} }

// reportError prints an error that ends the program and returns the exit status.
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
