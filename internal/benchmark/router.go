package benchmark

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is the built program, started as the platform would.
type process struct {
	cmd    *exec.Cmd
	listen string
	mu     sync.Mutex
	lines  []string
	heard  map[string]chan struct{} // by event, one token for each line
	ended  chan struct{}
}

// findRouter returns the program: what was asked for, or the one beside this one.
func findRouter(path string) (string, error) {
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		path = filepath.Join(filepath.Dir(self), "crankhold")
	}
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("the router is not built: %w", err)
	}
	return path, nil
}

// launch starts the program with variables.
func launch(path, listen string, env ...string) (*process, error) {
	p := &process{cmd: exec.Command(path), listen: listen, heard: map[string]chan struct{}{}, ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	out, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(p.ended)
		for in := bufio.NewScanner(out); in.Scan(); {
			p.mu.Lock()
			p.lines = append(p.lines, in.Text())
			p.mu.Unlock()
			if _, rest, ok := strings.Cut(in.Text(), "event="); ok {
				name, _, _ := strings.Cut(rest, " ")
				select {
				case p.event(name) <- struct{}{}:
				default:
				}
			}
		}
		p.cmd.Wait()
	}()
	return p, nil
}

// startRouter starts the program with variables and waits until it takes connections.
func startRouter(path, listen string, env ...string) (*process, error) {
	p, err := launch(path, listen, env...)
	if err != nil {
		return nil, err
	}
	for begun := time.Now(); time.Since(begun) < 10*time.Second; time.Sleep(20 * time.Millisecond) {
		select {
		case <-p.ended:
			return nil, fmt.Errorf("the router ended: %s", strings.Join(p.lines, "; "))
		default:
		}
		if c, err := net.Dial("tcp", listen); err == nil {
			c.Close()
			return p, nil
		}
	}
	p.stop()
	return nil, fmt.Errorf("the router does not listen: %s", strings.Join(p.lines, "; "))
}

func (p *process) event(name string) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.heard[name]
	if c == nil {
		c = make(chan struct{}, 1000)
		p.heard[name] = c
	}
	return c
}

// reload sends SIGHUP and waits until the router has taken it over.
func (p *process) reload() error {
	for len(p.event("routes_reloaded")) > 0 {
		<-p.event("routes_reloaded")
	}
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	select {
	case <-p.event("routes_reloaded"):
		return nil
	case <-p.ended:
		return fmt.Errorf("the router ended at a reload")
	case <-time.After(5 * time.Second):
		return fmt.Errorf("the router did not take a reload over: %s", p.last(5))
	}
}

// last returns the last lines of its log.
func (p *process) last(n int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines[max(0, len(p.lines)-n):], "\n")
}

// figure returns a counter of the log's last line that holds what, a part of a line.
func (p *process) figure(what, name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.lines) - 1; i >= 0; i-- {
		if strings.Contains(p.lines[i], what) {
			if _, rest, ok := strings.Cut(p.lines[i], " "+name+"="); ok {
				v, _, _ := strings.Cut(rest, " ")
				return v
			}
		}
	}
	return ""
}

// stop ends the program and waits for it.
func (p *process) stop() {
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(10 * time.Second):
		p.cmd.Process.Kill()
		<-p.ended
	}
}
