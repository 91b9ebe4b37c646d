package server

import (
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// Signals that arrive while the program starts are handled: SIGHUP makes it read the configuration once more and does
// not terminate it, and SIGTERM shuts it down gracefully. The program blocks while it reads its configuration, because
// the file is a pipe that nobody has written to yet.
func TestSignalsDuringTheStart(t *testing.T) {
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		t.Run(s.String(), func(t *testing.T) {
			_, listen, config := newSite(t, 1, nil)
			pipe := filepath.Join(t.TempDir(), "config.json")
			if err := syscall.Mkfifo(pipe, 0o600); err != nil {
				t.Fatal(err)
			}
			p := startProgram(t, pipe, listen)
			text, err := json.Marshal(config)
			if err != nil {
				t.Fatal(err)
			}
			writeAndSignal := func() {
				f, err := os.OpenFile(pipe, os.O_WRONLY, 0) // returns once the program has opened it to read
				if err != nil {
					t.Error(err)
					return
				}
				p.cmd.Process.Signal(s)
				f.Write(text)
				f.Close()
			}
			writeAndSignal()
			if s == syscall.SIGTERM {
				if err := <-p.exited; err != nil {
					t.Errorf("the program exited with %v", err)
				}
				return
			}
			p.waitForLog("event=server_started") // the program has read the whole file once
			writer, err := os.OpenFile(pipe, os.O_WRONLY, 0)
			if err != nil {
				t.Fatal(err)
			}
			writer.Write(text)
			writer.Close()
			p.waitForLog("event=config_reloaded")
			if response, err := p.client().Do(newRequest(1)); err != nil || response.Status != "served" {
				t.Errorf("response %+v, %v", response, err)
			}
		})
	}
}

// fewDescriptors is a shell script that runs a program with a limit of 80 descriptors. It first closes the inherited
// ones except the first three: nbio's descriptors have no close-on-exec flag, and those of servers that ran in this
// process stay open.
const fewDescriptors = `for n in $(ls /proc/self/fd); do [ "$n" -le 2 ] || eval "exec $n>&-"; done; ulimit -n 80; exec "$0"`

// Discovery is down, and idle clients use all descriptors that they can get. The router still dials its worker,
// switches to the new address of a discovery server, applies its list and dials the worker in it. It does not exit, and
// does not use much processor time.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	site, listen, config := newSite(t, 2, nil)
	closedSocket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedAddr := closedSocket.LocalAddr().String()
	closedSocket.Close()
	newAddr := site.Discovery.Addr()
	config["names"], config["limits"] = closedAddr, map[string]any{"cores": 1, "memory_mb": 64, "sockets": 80}
	topology := configuredTopology(config)
	topology["members"] = topology["members"].([]any)[:1] // only discovery lists the second worker
	p := startProgramWithDocument(t, config, listen, "bash", "-c", fewDescriptors)
	p.client().Close()
	var idle []net.Conn
	defer func() {
		for _, c := range idle {
			c.Close()
		}
	}()
	openIdle := func() {
		for range 60 {
			if c, err := net.Dial("tcp", listen); err == nil {
				idle = append(idle, c)
			}
		}
	}
	openIdle()
	response, err := p.client().Do(newRequest(1))
	if err != nil { // the server closed the connection to free its descriptor; clients retry such a request once
		response, err = p.client().Do(newRequest(1))
	}
	if err != nil || response.Status != "served" {
		t.Fatalf("with idle clients: %+v, %v", response, err)
	}
	site.Discovery.SetEndpoints(site.Endpoints())
	config["names"] = newAddr
	writeConfig(t, p.config, config)
	openIdle()
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.waitForLog("event=config_reloaded")
	openIdle()
	p.waitForLog("name=s-1")
	site.Workers[0].Kill()
	served := 0
	for n := 2; n < 60 && served < 5; n++ {
		thriftClient := p.client()
		if response, err := thriftClient.Do(newRequest(n)); err == nil && response.Status == "served" {
			served++
		}
		thriftClient.Close()
	}
	if served < 5 {
		t.Errorf("the worker that discovery lists served %d requests", served)
	}
	if err := p.terminate(); err != nil {
		t.Errorf("the program exited with %v", err)
	}
	if used := p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime(); used > 5*time.Second {
		t.Errorf("the program used %v of processor time", used)
	}
}

// A router whose configuration lists no worker and whose discovery server is down still reports itself ready.
func TestReadyWithAnEmptyListAndNoDiscovery(t *testing.T) {
	site, listen, config := newSite(t, 1, nil)
	site.Discovery.Close()
	topology := configuredTopology(config)
	topology["members"] = []any{}
	p := startProgramWithDocument(t, config, listen)
	thriftClient := p.client()
	p.waitUntil(func() bool {
		ready, err := thriftClient.CheckHealth()
		return err == nil && ready
	}, "it is ready")
	if err := p.terminate(); err != nil {
		t.Errorf("the program exited with %v", err)
	}
}
