package eventloop

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/lesismal/nbio"
)

// The first pause before a dial that failed by a fault of this machine is retried, and the longest.
const (
	initialDialBackoff = 2 * time.Millisecond
	maxDialBackoff     = 50 * time.Millisecond
)

// connectFunc opens a connection and makes it nbio's. It blocks until then, or until ctx is done.
type connectFunc = func(ctx context.Context, network, addr string, timeout time.Duration) (*nbio.Conn, error)

// dialer opens connections, each on a goroutine of its own that lives at most as long as the dial's timeout. The loop's
// goroutine starts dials; a dial shares only the queue and the poller with it.
type dialer struct {
	connect     connectFunc
	loopClosed  context.Context    // is done when the loop has ended, and ends dials
	cancel      context.CancelFunc // of loopEnded
	inProgress  sync.WaitGroup     // goroutines of dials
	queue       *queue
	poller      *poller
	descriptors *descriptorGuard
	idleCloser  *idleCloser
}

// start opens a socket for c and returns at once. The result is queued as an event. A net.Dialer opens the socket,
// because nbio 1.6.8 first reports a refused DialAsync as connected. One that connects at once leaves its write event
// set, on which the poller then spins.
func (d *dialer) start(c *Conn, network, addr string, timeout time.Duration) {
	d.inProgress.Go(func() {
		socket, err := d.dial(network, addr, timeout)
		if err == nil {
			err = d.register(socket, c)
		}
		d.queue.push(event{kind: dialCompleted, conn: c, socket: socket, err: err})
	})
}

// dial opens a socket within a timeout. It retries after a fault of this machine, which says nothing about the peer.
// When no descriptor is left, idle clients are closed to free one. It blocks and must not be called on the event loop.
func (d *dialer) dial(network, addr string, timeout time.Duration) (*nbio.Conn, error) {
	ctx, cancel := context.WithTimeout(d.loopClosed, timeout)
	defer cancel()
	for backoff := initialDialBackoff; ; backoff = min(2*backoff, maxDialBackoff) {
		socket, err := d.connect(ctx, network, addr, timeout)
		if !IsLocalFault(err) {
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

// close cancels all dials and waits until their goroutines have ended, or ctx is done.
func (d *dialer) close(ctx context.Context) {
	d.cancel()
	await(ctx, &d.inProgress)
}

// connect opens a connection and makes it nbio's. For a moment it takes two descriptors. It blocks and must not be
// called on the event loop.
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

// netDialer returns a dialer for a network. Datagram sockets are bound before they are connected, to what the system
// would choose too: some systems do not report the address of one that was only connected, and nbio needs it.
func netDialer(network string, timeout time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: timeout}
	if strings.HasPrefix(network, "udp") {
		d.LocalAddr = &net.UDPAddr{}
	}
	return d
}

// convertConn makes a socket nbio's. It returns errNoLocalAddress for a socket without a local address, at which NBConn
// would panic.
func convertConn(netConn net.Conn) (*nbio.Conn, error) {
	if netConn.LocalAddr() == nil {
		return nil, errNoLocalAddress
	}
	return nbio.NBConn(netConn)
}
