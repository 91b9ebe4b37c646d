// Package testutil holds what the tests of several packages share; no program uses it.
package testutil

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"
)

// Transport stands in for a connection: it keeps what is written to it.
type Transport struct {
	Wrote     bytes.Buffer
	HasClosed bool
	Unsent    int // of the last bytes that were written, what never left
}

// Write keeps bufs.
func (l *Transport) Write(bufs ...[]byte) {
	for _, b := range bufs {
		l.Wrote.Write(b)
	}
}

// UnsentBytes is what the test says.
func (l *Transport) UnsentBytes() int { return l.Unsent }

// Close notes that the line is closed.
func (l *Transport) Close() { l.HasClosed = true }

// CloseAfterFlush is Close: what was written is kept.
func (l *Transport) CloseAfterFlush() { l.Close() }

// Main runs a package's tests with fixed random steps, so that each run gives the same verdict.
func Main(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
