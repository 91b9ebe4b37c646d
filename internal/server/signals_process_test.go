package server

import (
	"encoding/json"
	"path/filepath"
	"regexp"
	"syscall"
	"testing"
	"time"
)

// Signals that come one after the other, and those that come while the program starts, are all acted on, and once: many
// SIGUSR1 displace no SIGTERM, a further SIGTERM ends nothing sooner, and a SIGHUP during a shutdown does not end it.
func TestSignalsInSeries(t *testing.T) {
	_, listen, document := siteFor(t, 1, nil)
	pipe := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	p := startProgram(t, pipe, listen)
	text, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	feed, err := syscall.Open(pipe, syscall.O_WRONLY, 0) // the program has opened it to read
	if err != nil {
		t.Fatal(err)
	}
	for range 8 {
		p.cmd.Process.Signal(syscall.SIGUSR1)
		time.Sleep(10 * time.Millisecond) // the kernel keeps one signal of a kind
	}
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1} {
		p.cmd.Process.Signal(signal)
		time.Sleep(10 * time.Millisecond)
	}
	if _, err := syscall.Write(feed, text); err != nil {
		t.Fatal(err)
	}
	syscall.Close(feed)
	select {
	case err := <-p.ended:
		if err != nil {
			t.Errorf("it ended with %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("it did not end: SIGTERM was lost")
	}
	if draining := len(regexp.MustCompile("event=server_draining").FindAllString(p.output(), -1)); draining != 1 {
		t.Errorf("it began to drain %d times", draining)
	}
}
