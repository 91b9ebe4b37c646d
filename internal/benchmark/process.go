package benchmark

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Limits on how long a router may take.
const (
	startTimeout  = 10 * time.Second
	reloadTimeout = 5 * time.Second
	stopTimeout   = 10 * time.Second
)

// eventRoutesReloaded is the log event by which a router tells that it has replaced its routes.
const eventRoutesReloaded = "routes_reloaded"

// maxUnreadEvents bounds how many events of a name wait to be read; further ones are dropped.
const maxUnreadEvents = 1000

// process is the built program, started as the platform would.
type process struct {
	cmd    *exec.Cmd
	listen string
	ended  chan struct{}

	mu     sync.Mutex
	log    []string                 // lines
	events map[string]chan struct{} // by name, one value per line
}

// findRouter returns the program's path: what was asked for, or the one beside this program.
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

// launch starts the program with further environment variables.
func launch(path, listen string, env ...string) (*process, error) {
	p := &process{cmd: exec.Command(path), listen: listen, ended: make(chan struct{}), events: map[string]chan struct{}{}}
	p.cmd.Env = append(os.Environ(), env...)
	log, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go p.readLog(log)
	return p, nil
}

// readLog collects the log until the program ends.
func (p *process) readLog(log io.Reader) {
	defer close(p.ended)
	in := bufio.NewScanner(log)
	for in.Scan() {
		line := in.Text()
		p.mu.Lock()
		p.log = append(p.log, line)
		p.mu.Unlock()
		name, ok := logAttribute(line, "event")
		if !ok {
			continue
		}
		select {
		case p.event(name) <- struct{}{}:
		default:
		}
	}
	p.cmd.Wait()
}

// logAttribute returns the value of an attribute, without blanks, in a line of the log.
func logAttribute(line, name string) (value string, ok bool) {
	_, rest, ok := strings.Cut(line, " "+name+"=")
	if !ok {
		return "", false
	}
	value, _, _ = strings.Cut(rest, " ")
	return value, true
}

// startRouter starts the program and waits until it accepts connections.
func startRouter(path, listen string, env ...string) (*process, error) {
	p, err := launch(path, listen, env...)
	if err != nil {
		return nil, err
	}
	for begun := time.Now(); time.Since(begun) < startTimeout; time.Sleep(20 * time.Millisecond) {
		select {
		case <-p.ended:
			return nil, fmt.Errorf("the router ended: %s", p.wholeLog())
		default:
		}
		if conn, err := net.Dial("tcp", listen); err == nil {
			conn.Close()
			return p, nil
		}
	}
	p.stop()
	return nil, fmt.Errorf("the router does not listen: %s", p.wholeLog())
}

// event returns the channel that has a value for each line with an event.
func (p *process) event(name string) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	events := p.events[name]
	if events == nil {
		events = make(chan struct{}, maxUnreadEvents)
		p.events[name] = events
	}
	return events
}

// reload sends SIGHUP and waits until the router has replaced its routes.
func (p *process) reload() error {
	reloaded := p.event(eventRoutesReloaded)
	for len(reloaded) > 0 {
		<-reloaded
	}
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	select {
	case <-reloaded:
		return nil
	case <-p.ended:
		return errors.New("the router ended at a reload")
	case <-time.After(reloadTimeout):
		return fmt.Errorf("the router did not take a reload over: %s", p.lastLines(5, "\n"))
	}
}

// wholeLog returns the log on one line.
func (p *process) wholeLog() string { return p.lastLines(math.MaxInt, "; ") }

// lastLines returns the end of the log.
func (p *process) lastLines(n int, separator string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.log[len(p.log)-min(n, len(p.log)):], separator)
}

// counter returns an attribute of the last line of the log that has another attribute, or an empty string.
func (p *process) counter(lineWith, name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.log) - 1; i >= 0; i-- {
		if _, ok := logAttribute(p.log[i], lineWith); !ok {
			continue
		}
		if value, ok := logAttribute(p.log[i], name); ok {
			return value
		}
	}
	return ""
}

// stop ends the program gracefully, or by force if it takes too long, and waits for it.
func (p *process) stop() {
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(stopTimeout):
		p.kill()
	}
}

// kill ends the program by force and waits for it.
func (p *process) kill() {
	p.cmd.Process.Kill()
	<-p.ended
}

// clockTick is the unit of the times in /proc, of which Linux has a hundred a second.
const clockTick = 10 * time.Millisecond

// cpuTime returns the processor time that the running program has used, or 0 where it can't be read (proc(5), stat).
func (p *process) cpuTime() time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, afterName, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(afterName)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * clockTick
}

// cpuTimeAtEnd returns the processor time that the program used, once it has ended.
func (p *process) cpuTimeAtEnd() time.Duration {
	state := p.cmd.ProcessState
	if state == nil {
		return 0
	}
	return state.UserTime() + state.SystemTime()
}
