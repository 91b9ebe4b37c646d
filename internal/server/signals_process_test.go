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

// Signals that come one after the other, and those that come while the program starts, are all acted on, and once: many
// SIGUSR1 displace no SIGTERM, a further SIGTERM ends nothing sooner, and a SIGHUP during a shutdown does not end it.
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
	writer, err := syscall.Open(pipe, syscall.O_WRONLY, 0) // the program has opened it to read
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
	if _, err := syscall.Write(writer, text); err != nil {
		t.Fatal(err)
	}
	syscall.Close(writer)
	select {
	case err := <-p.exited:
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

// Of many SIGHUPs in a row, each with another file, the last file wins, also while requests are under way; some of the
// files can't be used and change nothing.
func TestLastOfManyReloadsWins(t *testing.T) {
	_, listen, document := newSite(t, 2, nil)
	p := startProgramWith(t, document, listen)
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
		t.Errorf("the discovery server of the last file was not asked: %v", err)
	}
	reloaded := regexp.MustCompile(`event=config_reloaded names=(\S+)`).FindAllStringSubmatch(p.output(), -1)
	if len(reloaded) == 0 || reloaded[len(reloaded)-1][1] != lastServer.LocalAddr().String() {
		t.Errorf("the last reload was of %v", reloaded)
	}
}
