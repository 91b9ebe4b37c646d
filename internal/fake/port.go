package fake

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// PortMode is how an address of a worker behaves.
type PortMode string

// Modes of an address.
const (
	ModeHealthy      PortMode = "healthy"
	ModeRefuse       PortMode = "refuse"       // nothing listens
	ModeStaleSocket  PortMode = "stale socket" // a Unix socket's file exists, but nothing listens
	ModeUnresponsive PortMode = "unresponsive" // requests are accepted and executed, but no response is sent
	ModeReset        PortMode = "reset"        // connections are reset; new ones are reset when they are accepted
	ModeBacklogFull  PortMode = "backlog full" // the listen backlog is full, so that dials hang
)

// Modes lists all modes of an address, with ModeHealthy first.
var Modes = []PortMode{ModeHealthy, ModeRefuse, ModeStaleSocket, ModeUnresponsive, ModeReset, ModeBacklogFull}

// The number of attempts to listen on an address, and the delay between them. Listening can fail until the connections
// of the previous mode are closed.
const (
	listenAttempts   = 50
	listenRetryDelay = 10 * time.Millisecond
)

// errUnknownMode is returned for a mode that is not one of Modes.
var errUnknownMode = errors.New("unknown address mode")

// Port is one address of a fake worker, which can be made to fail. Its methods may be called from any goroutine.
type Port struct {
	Address
	worker *Worker

	accepting sync.WaitGroup // goroutines that accept connections
	serving   sync.WaitGroup // goroutines that serve them

	mu       sync.Mutex // guards the fields below, and Addr while SetMode changes it
	mode     PortMode
	listener net.Listener
	conns    map[net.Conn]struct{}
	backlog  []net.Conn // connections that fill the listener's backlog in ModeBacklogFull
}

// openPort starts to listen on an address of a worker.
func openPort(worker *Worker, address Address) (*Port, error) {
	p := &Port{Address: address, worker: worker, conns: map[net.Conn]struct{}{}}
	return p, p.SetMode(ModeHealthy)
}

// Mode returns how the address behaves.
func (p *Port) Mode() PortMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// SetMode changes how the address behaves. Open connections stay open, except in ModeReset. If listening on the address
// fails, the address is left in ModeRefuse. A mode that is not one of Modes is an error.
func (p *Port) SetMode(mode PortMode) error {
	if !slices.Contains(Modes, mode) {
		return fmt.Errorf("mode %q: %w", mode, errUnknownMode)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if mode == p.mode {
		return nil
	}
	p.stopListening(mode)
	p.mode = mode
	if mode == ModeRefuse || mode == ModeStaleSocket {
		return nil
	}
	if err := p.listen(); err != nil {
		p.mode = ModeRefuse
		return fmt.Errorf("%s %s: %w", p.Network, p.Addr, err)
	}
	switch mode {
	case ModeBacklogFull:
		p.fillBacklog()
	case ModeReset:
		p.resetConns()
		p.acceptWith(resetConn)
	default:
		p.acceptWith(p.startServing)
	}
	return nil
}

// stopListening closes the listener of the previous mode. The file of a Unix socket stays if the next mode is
// ModeStaleSocket. The port must be locked.
func (p *Port) stopListening(next PortMode) {
	if p.listener != nil {
		if unix, ok := p.listener.(*net.UnixListener); ok {
			unix.SetUnlinkOnClose(next != ModeStaleSocket)
		}
		p.listener.Close()
		p.listener = nil
	}
	for _, conn := range p.backlog {
		conn.Close()
	}
	p.backlog = nil
}

// listen opens the listener. It retries while connections of the previous mode still use the address. The port must be
// locked.
func (p *Port) listen() (err error) {
	if p.Network == NetworkUnix {
		os.Remove(p.Addr) // the file of a stale socket
	}
	for range listenAttempts {
		p.listener, err = net.Listen(p.Network, p.Addr)
		if err == nil {
			p.Addr = p.listener.Addr().String()
			return nil
		}
		time.Sleep(listenRetryDelay)
	}
	p.listener = nil
	return err
}

// acceptWith starts a goroutine that passes accepted connections to handle until the listener is closed. The port must
// be locked.
func (p *Port) acceptWith(handle func(net.Conn)) {
	listener := p.listener
	p.accepting.Add(1)
	go func() {
		defer p.accepting.Done()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			handle(conn)
		}
	}()
}

// startServing starts a goroutine in which the worker serves a connection.
func (p *Port) startServing(conn net.Conn) {
	p.mu.Lock()
	p.conns[conn] = struct{}{}
	p.mu.Unlock()
	p.serving.Add(1)
	go func() {
		defer p.serving.Done()
		p.worker.serveConnection(p, conn)
	}()
}

// fillBacklog sets the listener's backlog to the shortest possible length (listen(2)) and fills it. The port must be
// locked.
func (p *Port) fillBacklog() {
	if s, ok := p.listener.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 0) })
		}
	}
	for range 4 {
		conn, err := net.DialTimeout(p.Network, p.Addr, 20*time.Millisecond)
		if err != nil {
			return
		}
		p.backlog = append(p.backlog, conn)
	}
}

// shutDown refuses new connections and resets all open ones. It waits for the accepting goroutine, so that a connection
// that was just accepted is reset too.
func (p *Port) shutDown() {
	p.SetMode(ModeRefuse) // never fails
	p.accepting.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetConns()
}

// resetConns resets all open connections. The port must be locked.
func (p *Port) resetConns() {
	for conn := range p.conns {
		resetConn(conn)
	}
}

// removeConn removes a closed connection from the open ones.
func (p *Port) removeConn(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// resetConn closes a connection as if its process had been killed: a TCP connection is reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
