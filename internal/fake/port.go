package fake

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Port is one address of a stand-in worker, which can be made to fail in ways of its own.
type Port struct {
	Network, Addr string
	w             *Worker

	mu    sync.Mutex
	mode  string
	ln    net.Listener
	conns map[net.Conn]bool
	fill  []net.Conn // full: what takes up the backlog
}

// Modes are the ways in which an address may be: well; refuse (nothing listens); stale (a Unix socket's file stands
// there and nothing listens); mute (it takes all, works, and says nothing); reset (connections are reset, new ones
// as soon as they are accepted); full (its backlog is full, so that dials hang).
var Modes = []string{"well", "refuse", "stale", "mute", "reset", "full"}

// Mode is how it is.
func (p *Port) Mode() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// Set has it be in a mode. Connections that are open stay, but for a reset.
func (p *Port) Set(mode string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mode == p.mode {
		return nil
	}
	if p.ln != nil {
		if u, ok := p.ln.(*net.UnixListener); ok {
			u.SetUnlinkOnClose(mode != "stale")
		}
		p.ln.Close()
		p.ln = nil
	}
	for _, c := range p.fill {
		c.Close()
	}
	p.fill, p.mode = nil, mode
	if mode == "refuse" || mode == "stale" {
		return nil
	}
	if p.Network == "unix" {
		os.Remove(p.Addr)
	}
	var ln net.Listener
	var err error
	for range 50 { // connections of the mode before may still be going
		if ln, err = net.Listen(p.Network, p.Addr); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		p.mode = "refuse"
		return fmt.Errorf("%s %s: %w", p.Network, p.Addr, err)
	}
	p.Addr, p.ln = ln.Addr().String(), ln
	switch mode {
	case "full":
		p.fillUp()
	case "reset":
		for c := range p.conns {
			reset(c)
		}
		go p.accept(ln, reset)
	default:
		go p.accept(ln, func(c net.Conn) {
			p.mu.Lock()
			if p.conns == nil {
				p.conns = map[net.Conn]bool{}
			}
			p.conns[c] = true
			p.mu.Unlock()
			go p.w.serve(p, c)
		})
	}
	return nil
}

func (p *Port) accept(ln net.Listener, f func(net.Conn)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		f(c)
	}
}

// fillUp gives the listener the shortest backlog there is (listen(2)) and takes it up.
func (p *Port) fillUp() {
	if s, ok := p.ln.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 0) })
		}
	}
	for range 4 {
		c, err := net.DialTimeout(p.Network, p.Addr, 20*time.Millisecond)
		if err != nil {
			return
		}
		p.fill = append(p.fill, c)
	}
}

// reset ends a connection as a process that dies would.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// reset ends all connections.
func (p *Port) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

func (p *Port) forget(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}
