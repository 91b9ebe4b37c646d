package server

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"crankhold/internal/fake"
)

// buildProgram builds the program for the tests that run it as a process, and returns its path. It builds only once.
var buildProgram = sync.OnceValues(func() (string, error) {
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
	if path, err := buildProgram(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// program is a router that runs as a separate process.
type program struct {
	t      *testing.T
	cmd    *exec.Cmd
	config string // path of its configuration file
	listen string
	mu     sync.Mutex
	log    bytes.Buffer
	exited chan error
}

// startProgramWithDocument starts the program with a configuration document.
func startProgramWithDocument(t *testing.T, document map[string]any, listen string, wrapper ...string) *program {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, document)
	return startProgram(t, path, listen, wrapper...)
}

// startProgram starts the program with a configuration file. wrapper is a command that runs the program, such as a
// shell that sets other limits.
func startProgram(t *testing.T, config, listen string, wrapper ...string) *program {
	t.Helper()
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	args := append(wrapper, path)
	p := &program{t: t, cmd: exec.Command(args[0], args[1:]...), config: config, listen: listen, exited: make(chan error, 1)}
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
		p.exited <- p.cmd.Wait()
	}()
	t.Cleanup(func() {
		p.cmd.Process.Kill()
		if t.Failed() {
			t.Log(p.output())
		}
	})
	return p
}

// output returns what the program has logged so far.
func (p *program) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// waitForLog waits until the program's log contains a text.
func (p *program) waitForLog(text string) {
	p.t.Helper()
	p.waitUntil(func() bool { return strings.Contains(p.output(), text) }, text)
}

// waitUntil waits until a condition holds. It fails the test if the program exits first or half a minute passes.
func (p *program) waitUntil(condition func() bool, description string) {
	p.t.Helper()
	for waitStart := time.Now(); !condition(); time.Sleep(5 * time.Millisecond) {
		select {
		case err := <-p.exited:
			p.t.Fatalf("the program exited (%v) before: %s", err, description)
		default:
		}
		if time.Since(waitStart) > 30*time.Second {
			p.t.Fatalf("not within half a minute: %s", description)
		}
	}
}

// client waits until the program listens, and returns a connected client.
func (p *program) client() (thriftClient *fake.Client) {
	p.t.Helper()
	p.waitUntil(func() bool {
		var err error
		thriftClient, err = fake.Dial(p.listen)
		return err == nil
	}, "it listens")
	p.t.Cleanup(thriftClient.Close)
	return thriftClient
}

// terminate sends SIGTERM, waits until the program exits, and returns the result.
func (p *program) terminate() error {
	p.cmd.Process.Signal(syscall.SIGTERM)
	return <-p.exited
}

// thriftCounter returns a counter of the Thrift front, from the last line of its counters in a program's log.
func thriftCounter(t *testing.T, log, name string) int {
	t.Helper()
	lines := regexp.MustCompile(`front=thrift.*?\b`+name+`=(\d+)`).FindAllStringSubmatch(log, -1)
	if len(lines) == 0 {
		t.Fatalf("the log has no counter %s", name)
	}
	value, err := strconv.Atoi(lines[len(lines)-1][1])
	if err != nil {
		t.Fatal(err)
	}
	return value
}
