package benchmark

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Limits on how long a router may take.
const (
	startTimeout  = 10 * time.Second
	reloadTimeout = 5 * time.Second
	stopTimeout   = 10 * time.Second
)

// process is a running router: the built program, started as the platform would start it.
type process struct {
	cmd    *exec.Cmd
	listen string
	log    *routerLog
	exited chan struct{} // closed once the program has exited and its log is complete
}

// findRouter returns the path of the program to measure: the given one, or the one beside this program.
func findRouter(path string) (string, error) {
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		path = filepath.Join(filepath.Dir(self), "crankhold")
	}
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("router program not found: %w", err)
	}
	return path, nil
}

// launch starts the program with additional environment variables. It does not wait until the program listens.
func launch(path, listen string, env ...string) (*process, error) {
	p := &process{cmd: exec.Command(path), listen: listen, log: newRouterLog(), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	output, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go p.readOutput(output)
	return p, nil
}

// readOutput reads the program's log until the program has exited.
func (p *process) readOutput(output io.Reader) {
	defer close(p.exited)
	p.log.readFrom(output)
	p.cmd.Wait()
}

// startRouter starts the program and blocks until it accepts connections.
func startRouter(path, listen string, env ...string) (*process, error) {
	p, err := launch(path, listen, env...)
	if err != nil {
		return nil, err
	}
	for startedAt := time.Now(); time.Since(startedAt) < startTimeout; time.Sleep(20 * time.Millisecond) {
		select {
		case <-p.exited:
			return nil, fmt.Errorf("the router exited: %s", p.log.joined())
		default:
		}
		if conn, err := net.Dial("tcp", listen); err == nil {
			conn.Close()
			return p, nil
		}
	}
	p.stop()
	return nil, fmt.Errorf("the router does not listen: %s", p.log.joined())
}

// reload sends SIGHUP to the router and blocks until the router has replaced its routes.
func (p *process) reload() error {
	reloaded := p.log.event(eventRoutesReloaded)
	for len(reloaded) > 0 {
		<-reloaded
	}
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	select {
	case <-reloaded:
		return nil
	case <-p.exited:
		return errors.New("the router exited during a reload")
	case <-time.After(reloadTimeout):
		return fmt.Errorf("the router did not complete a reload: %s", p.log.lastLines())
	}
}

// stop shuts the program down gracefully, or kills it after stopTimeout. It blocks until the program has exited.
func (p *process) stop() {
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		p.kill()
	}
}

// kill kills the program. It blocks until the program has exited.
func (p *process) kill() {
	p.cmd.Process.Kill()
	<-p.exited
}
