package command

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"testing"
)

func TestReportReturnsTheExitStatus(t *testing.T) {
	for _, c := range []struct {
		name   string
		err    error
		status exitStatus
		text   string
	}{
		{"success", nil, exitSuccess, ""},
		{"an already printed finding", errFinding, exitFinding, ""},
		{"usage", usageError("takes %d", 1), exitUsage, "crankhold: takes 1\n"},
		{"an unreadable file", inputError(fs.ErrNotExist), exitUsage, "crankhold: file does not exist\n"},
		{"a wrapped error", fmt.Errorf("within: %w", usageError("takes 1")), exitUsage, "crankhold: takes 1\n"},
		{"any other error", errors.New("broken"), exitFinding, "crankhold: broken\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var stderr bytes.Buffer
			if got := reportError(&stderr, c.err); got != c.status || stderr.String() != c.text {
				t.Errorf("status %d, %q; want %d, %q", got, stderr.String(), c.status, c.text)
			}
		})
	}
	if !errors.Is(inputError(fs.ErrNotExist), fs.ErrNotExist) {
		t.Error("inputError does not wrap its cause")
	}
}
