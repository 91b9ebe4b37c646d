package server

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"syscall"
	"testing"
	"time"

	"crankhold/internal/fake"
)

// Signals in a series, and signals that arrive while the program starts, are all handled, and each only once: many
// SIGUSR1 displace no SIGTERM, another SIGTERM does not shorten the shutdown, and a SIGHUP does not end it.
func TestSignalsInSeries(t *testing.T) {
	_, listen, document := newSite(t, 1, nil)
	pipe := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	p := startProgram(t, pipe, listen)
	text, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	writer, err := syscall.Open(pipe, syscall.O_WRONLY, 0) // returns once the program has opened the pipe to read
	if err != nil {
		t.Fatal(err)
	}
	for range 8 {
		p.cmd.Process.Signal(syscall.SIGUSR1)
		time.Sleep(10 * time.Millisecond) // the kernel keeps only one pending signal of each kind
	}
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1} {
		p.cmd.Process.Signal(signal)
		time.Sleep(10 * time.Millisecond)
	}
	if _, err := syscall.Write(writer, text); err != nil {
		t.Fatal(err)
	}
	syscall.Close(writer)
	select {
	case err := <-p.exited:
		if err != nil {
			t.Errorf("the program exited with %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the program did not exit: SIGTERM was lost")
	}
	if draining := len(regexp.MustCompile("event=server_draining").FindAllString(p.output(), -1)); draining != 1 {
		t.Errorf("%d drains were logged, want 1", draining)
	}
}

// After many SIGHUPs in a row, each with another file, the last file is in force, also while requests are open. Some of
// the files are invalid and change nothing.
func TestLastOfManyReloadsWins(t *testing.T) {
	_, listen, document := newSite(t, 2, nil)
	p := startProgramWithDocument(t, document, listen)
	client := p.client()
	lastServer, err := net.ListenPacket("udp", "127.0.0.1:0") // the discovery server of the last file
	if err != nil {
		t.Fatal(err)
	}
	defer lastServer.Close()
	const reloads = 61
	for n := range reloads {
		document["names"] = fmt.Sprintf("127.0.0.1:%d", 2000+n)
		if n == reloads-1 {
			document["names"] = lastServer.LocalAddr().String()
		}
		newFile := p.config + ".fresh"
		writeConfig(t, newFile, document)
		if n%7 == 3 {
			writeText(t, newFile, `{"names":`)
		}
		if err := os.Rename(newFile, p.config); err != nil {
			t.Fatal(err)
		}
		p.cmd.Process.Signal(syscall.SIGHUP)
		if response, err := client.Do(newRequest(n + 1)); err != nil || response.Status != fake.Served {
			t.Fatalf("after %d reloads: %+v, %v", n, response, err)
		}
	}
	lastServer.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, _, err := lastServer.ReadFrom(make([]byte, 512)); err != nil {
		t.Errorf("the discovery server of the last file received no query: %v", err)
	}
	reloaded := regexp.MustCompile(`event=config_reloaded names=(\S+)`).FindAllStringSubmatch(p.output(), -1)
	if len(reloaded) == 0 || reloaded[len(reloaded)-1][1] != lastServer.LocalAddr().String() {
		t.Errorf("the last reload was not of the last file: %v", reloaded)
	}
}
