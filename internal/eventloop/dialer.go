package eventloop

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/lesismal/nbio"
)

// Limits of the delay before a dial that failed with a local error is retried. It doubles after each failure.
const (
	initialDialBackoff = 2 * time.Millisecond
	maxDialBackoff     = 50 * time.Millisecond
)

// connectFunc opens a connection and converts it to nbio's type. It blocks until that is done, or until ctx is done.
type connectFunc = func(ctx context.Context, network, addr string, timeout time.Duration) (*nbio.Conn, error)

// dialer opens connections, each on its own goroutine, which lives at most as long as the dial's timeout. The loop's
// goroutine starts dials. A dial shares only the queue and the poller with it.
type dialer struct {
	connect     connectFunc
	loopClosed  context.Context    // done once the loop is closed; cancels dials
	cancel      context.CancelFunc // of loopClosed
	inProgress  sync.WaitGroup     // goroutines of dials
	queue       *queue
	poller      *poller
	descriptors *descriptorGuard
	idleCloser  *idleCloser
}

// start dials the connection c and returns at once. The result is queued as an event. The socket is opened by a
// net.Dialer, not by nbio's DialAsync, because nbio 1.6.8 first reports a refused DialAsync as connected. A DialAsync
// that connects at once also leaves its write event set, and the poller then spins on it.
func (d *dialer) start(c *Conn, network, addr string, timeout time.Duration) {
	d.inProgress.Go(func() {
		socket, err := d.dial(network, addr, timeout)
		if err == nil {
			err = d.register(socket, c)
		}
		d.queue.push(event{kind: dialCompleted, conn: c, socket: socket, err: err})
	})
}

// dial opens a socket within a timeout. It retries after a local error, which says nothing about the peer. If no
// descriptor is free, it has an idle client closed to free one. It blocks and must not be called on the event loop.
func (d *dialer) dial(network, addr string, timeout time.Duration) (*nbio.Conn, error) {
	ctx, cancel := context.WithTimeout(d.loopClosed, timeout)
	defer cancel()
	for backoff := initialDialBackoff; ; backoff = min(2*backoff, maxDialBackoff) {
		socket, err := d.connect(ctx, network, addr, timeout)
		if !IsLocalError(err) {
			return socket, err
		}
		if IsDescriptorExhausted(err) && d.idleCloser.closeOne() {
			continue
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(backoff):
		}
	}
}

// register has the poller watch a socket for c. It blocks while the poller may hold an event of an earlier connection
// with the same descriptor.
func (d *dialer) register(socket *nbio.Conn, c *Conn) error {
	err := d.descriptors.awaitReusable()
	if err != nil || d.loopClosed.Err() != nil {
		socket.Close()
		return errLoopClosed
	}
	return d.poller.watch(socket, c)
}

// close cancels all dials and waits until their goroutines have returned, or ctx is done.
func (d *dialer) close(ctx context.Context) {
	d.cancel()
	await(ctx, &d.inProgress)
}

// connect opens a connection and converts it to nbio's type, for which it briefly uses two descriptors. It blocks and
// must not be called on the event loop.
func connect(ctx context.Context, network, addr string, timeout time.Duration) (*nbio.Conn, error) {
	netConn, err := netDialer(network, timeout).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	socket, err := convertConn(netConn)
	if err != nil {
		netConn.Close()
	}
	return socket, err
}

// netDialer returns a dialer for a network. Datagram sockets are bound before they are connected, to the address that
// the system would choose anyway. Some systems do not report the local address of a datagram socket that was only
// connected, and nbio needs that address.
func netDialer(network string, timeout time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: timeout}
	if strings.HasPrefix(network, "udp") {
		d.LocalAddr = &net.UDPAddr{}
	}
	return d
}

// convertConn converts a connection to nbio's type. It returns errNoLocalAddress for a socket without a local address,
// because NBConn would panic on it.
func convertConn(netConn net.Conn) (*nbio.Conn, error) {
	if netConn.LocalAddr() == nil {
		return nil, errNoLocalAddress
	}
	return nbio.NBConn(netConn)
}
