package eventloop

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/lesismal/nbio"
)

// The first pause before a dial that failed by a fault of this machine is tried again, and the longest.
const (
	firstDialPause   = 2 * time.Millisecond
	longestDialPause = 50 * time.Millisecond
)

// connectFunc opens a connection and makes it nbio's.
type connectFunc = func(ctx context.Context, network, addr string, timeout time.Duration) (*nbio.Conn, error)

// Dial opens a connection and returns at once. A net.Dialer does it on a goroutine of its own: in nbio 1.6.8 a refused
// DialAsync is first reported as connected, and one that connects at once leaves its write event set, on which the
// poller then spins.
func (l *Loop) Dial(network, addr string, timeout time.Duration, h DialHandler) *Conn {
	c := &Conn{loop: l, handler: h, isUnix: network == "unix"}
	l.dials.Go(func() {
		socket, err := l.dial(network, addr, timeout)
		if err == nil {
			err = l.register(socket, c)
		}
		l.queue.push(event{kind: dialEnded, conn: c, socket: socket, err: err})
	})
	return c
}

// dial opens a socket within a time. A fault of this machine is outlasted, since it says nothing of the peer; where no
// descriptor is left, idle clients make room.
func (l *Loop) dial(network, addr string, timeout time.Duration) (*nbio.Conn, error) {
	ctx, cancel := context.WithTimeout(l.dialContext, timeout)
	defer cancel()
	for pause := firstDialPause; ; pause = min(2*pause, longestDialPause) {
		socket, err := l.connect(ctx, network, addr, timeout)
		if !IsLocalFault(err) {
			return socket, err
		}
		if IsDescriptorExhausted(err) && l.CloseIdleClients() {
			continue
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(pause):
		}
	}
}

// register has the poller watch a socket for c.
func (l *Loop) register(socket *nbio.Conn, c *Conn) error {
	if l.dialContext.Err() != nil {
		socket.Close()
		return errLoopEnded
	}
	socket.SetSession(c)
	l.registrations.Add(1)
	_, err := l.engine.AddConn(socket)
	return err
}

// connect opens a connection and makes it nbio's. For a moment it takes two descriptors.
func connect(ctx context.Context, network, addr string, timeout time.Duration) (*nbio.Conn, error) {
	std, err := dialer(network, timeout).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	socket, err := adopt(std)
	if err != nil {
		std.Close()
	}
	return socket, err
}

// dialer opens sockets of a network. Those for datagrams are bound before they are connected, to what the system would
// choose too: not every system tells the address of one that was only connected, and nbio needs it.
func dialer(network string, timeout time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: timeout}
	if strings.HasPrefix(network, "udp") {
		d.LocalAddr = &net.UDPAddr{}
	}
	return d
}

// adopt makes a socket nbio's. NBConn panics at one for datagrams that has no local address.
func adopt(std net.Conn) (*nbio.Conn, error) {
	if std.LocalAddr() == nil {
		return nil, errNoLocalAddress
	}
	return nbio.NBConn(std)
}
