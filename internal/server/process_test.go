package server

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"crankhold/internal/fake"
)

// built is the program, built once for the tests that need a process of its own.
var built = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "crankhold-test-")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir+"/", "crankhold/cmd/crankhold").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return filepath.Join(dir, "crankhold"), nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := built(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// program is the router as a process.
type program struct {
	t      *testing.T
	cmd    *exec.Cmd
	listen string
	mu     sync.Mutex
	log    bytes.Buffer
	ended  chan error
}

// startProgram starts the program on a configuration file; under says what comes before it on the command line.
func startProgram(t *testing.T, config, listen string, under ...string) *program {
	t.Helper()
	path, err := built()
	if err != nil {
		t.Fatal(err)
	}
	args := append(under, path)
	p := &program{t: t, cmd: exec.Command(args[0], args[1:]...), listen: listen, ended: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+config)
	out, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		for in := bufio.NewScanner(out); in.Scan(); {
			p.mu.Lock()
			p.log.WriteString(in.Text() + "\n")
			p.mu.Unlock()
		}
		p.ended <- p.cmd.Wait()
	}()
	t.Cleanup(func() {
		p.cmd.Process.Kill()
		if t.Failed() {
			t.Log(p.said())
		}
	})
	return p
}

func (p *program) said() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// await waits until the log holds a text.
func (p *program) await(text string) {
	p.t.Helper()
	p.until(func() bool { return strings.Contains(p.said(), text) }, text)
}

// until waits until something holds, and fails the test where the program ends first or it takes half a minute.
func (p *program) until(holds func() bool, what string) {
	p.t.Helper()
	for begun := time.Now(); !holds(); time.Sleep(5 * time.Millisecond) {
		select {
		case err := <-p.ended:
			p.t.Fatalf("the program ended (%v) before: %s", err, what)
		default:
		}
		if time.Since(begun) > 30*time.Second {
			p.t.Fatalf("not within half a minute: %s", what)
		}
	}
}

// client connects once the program listens.
func (p *program) client() (k *fake.Client) {
	p.t.Helper()
	p.until(func() bool {
		var err error
		k, err = fake.Dial(p.listen)
		return err == nil
	}, "it listens")
	p.t.Cleanup(k.Close)
	return k
}

// end has the program stop and tells how it did.
func (p *program) end() error {
	p.cmd.Process.Signal(syscall.SIGTERM)
	return <-p.ended
}

// Guards a start against the signals that meet it: the program is held while it reads its configuration, from a pipe
// that nobody has written to yet. A hang-up has it read the file once more and not die; SIGTERM has it end in order.
func TestSignalsWhileItStarts(t *testing.T) {
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		t.Run(s.String(), func(t *testing.T) {
			_, listen, config := siteFor(t, 1, nil)
			pipe := filepath.Join(t.TempDir(), "config.json")
			if err := syscall.Mkfifo(pipe, 0o600); err != nil {
				t.Fatal(err)
			}
			p := startProgram(t, pipe, listen)
			text, err := json.Marshal(config)
			if err != nil {
				t.Fatal(err)
			}
			feed := func() {
				f, err := os.OpenFile(pipe, os.O_WRONLY, 0) // returns once the program has opened it to read
				if err != nil {
					t.Error(err)
					return
				}
				p.cmd.Process.Signal(s)
				f.Write(text)
				f.Close()
			}
			feed()
			if s == syscall.SIGTERM {
				if err := <-p.ended; err != nil {
					t.Errorf("it ended with %v", err)
				}
				return
			}
			p.await("event=server_started") // it has read the file once, to its end
			again, err := os.OpenFile(pipe, os.O_WRONLY, 0)
			if err != nil {
				t.Fatal(err)
			}
			again.Write(text)
			again.Close()
			p.await("event=config_reloaded")
			if a, err := p.client().Do(callOf(1)); err != nil || a.Verdict != "served" {
				t.Errorf("answer %+v, %v", a, err)
			}
		})
	}
}

// fewFiles starts a program with 80 descriptors, and with none of this process's beside the first three: nbio's have no
// close-on-exec flag, and those of the routers that ran in this process stay open.
const fewFiles = `for n in $(ls /proc/self/fd); do [ "$n" -le 2 ] || eval "exec $n>&-"; done; ulimit -n 80; exec "$0"`

// Guards a router in the worst hour: no word of the directory, and clients that hold every descriptor that they can get.
// It still dials its worker, takes over a directory's new address, follows its list and dials the worker in it; it
// neither ends nor burns its processor.
func TestIdleClientsWhileTheDirectoryIsDown(t *testing.T) {
	site, listen, config := siteFor(t, 2, nil)
	dead, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	silent := dead.LocalAddr().String()
	dead.Close()
	moved := site.Directory.Addr()
	config["names"], config["limits"] = silent, map[string]any{"cores": 1, "memory_mb": 64, "sockets": 80}
	known := firstTopology(config)
	known["members"] = known["members"].([]any)[:1] // of the second worker only the directory tells
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, config)
	p := startProgram(t, path, listen, "bash", "-c", fewFiles)
	p.client().Close()
	var idle []net.Conn
	defer func() {
		for _, c := range idle {
			c.Close()
		}
	}()
	crowd := func() {
		for range 60 {
			if c, err := net.Dial("tcp", listen); err == nil {
				idle = append(idle, c)
			}
		}
	}
	crowd()
	a, err := p.client().Do(callOf(1))
	if err != nil { // it crossed a close that made room; clients send such a request again, once
		a, err = p.client().Do(callOf(1))
	}
	if err != nil || a.Verdict != "served" {
		t.Fatalf("with idle clients: %+v, %v", a, err)
	}
	site.Directory.Set(site.Entries())
	config["names"] = moved
	writeConfig(t, path, config)
	crowd()
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.await("event=config_reloaded")
	crowd()
	p.await("name=s-1")
	site.Workers[0].Kill()
	served := 0
	for n := 2; n < 60 && served < 5; n++ {
		k := p.client()
		if a, err := k.Do(callOf(n)); err == nil && a.Verdict == "served" {
			served++
		}
		k.Close()
	}
	if served < 5 {
		t.Errorf("the worker that the directory tells of served %d calls", served)
	}
	if err := p.end(); err != nil {
		t.Errorf("it ended with %v", err)
	}
	if used := p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime(); used > 5*time.Second {
		t.Errorf("it used %v of processor time", used)
	}
}

// Guards starts: a router whose list of the start is empty and whose directory is down takes calls all the same, and
// says that it is ready.
func TestReadyWithAnEmptyListAndNoDirectory(t *testing.T) {
	site, listen, config := siteFor(t, 1, nil)
	site.Directory.Close()
	known := firstTopology(config)
	known["members"] = []any{}
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, config)
	p := startProgram(t, path, listen)
	k := p.client()
	p.until(func() bool {
		good, err := k.Check()
		return err == nil && good
	}, "it is ready")
	if err := p.end(); err != nil {
		t.Errorf("it ended with %v", err)
	}
}
