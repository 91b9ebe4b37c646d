package eventloop

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"runtime"
	"strconv"
	"sync"
	"time"

	"github.com/lesismal/nbio"
)

// acceptRetryDelay is how long accepting pauses after an error. When no descriptor is free, accept fails at once, and
// nbio would call it again and again.
const acceptRetryDelay = 20 * time.Millisecond

// acceptFunc returns the handler of an accepted connection. It runs on the loop's goroutine.
type acceptFunc = func(*Conn) AcceptedHandler

// listenFunc opens a listener.
type listenFunc = func(network, addr string) (net.Listener, error)

// listeners opens the listeners and queues the connections that they accept. Before Start, the caller of Listen owns
// it. After Start, its fields do not change, and each listener's goroutine calls connectionOpened and acceptFailed.
type listeners struct {
	loop      *Loop
	listen    listenFunc
	accepts   map[string]acceptFunc // by the address passed to Listen
	bound     bindings
	opened    []net.Listener
	acceptors sync.WaitGroup // goroutines of listeners
	logger    *slog.Logger
}

// newListeners returns listeners without any address.
func newListeners(loop *Loop, logger *slog.Logger) *listeners {
	return &listeners{
		loop:    loop,
		listen:  net.Listen,
		accepts: map[string]acceptFunc{},
		bound:   bindings{},
		logger:  logger,
	}
}

// addrs returns the addresses to listen on.
func (l *listeners) addrs() (addrs []string) {
	for addr := range l.accepts {
		addrs = append(addrs, addr)
	}
	return addrs
}

// open opens a listener. When nbio starts, it calls open for each address and runs a goroutine that accepts
// connections.
func (l *listeners) open(network, addr string) (net.Listener, error) {
	listener, err := l.listen(network, addr)
	if err != nil {
		return nil, &ListenError{Addr: addr, Err: err}
	}
	l.bound.add(listener.Addr(), l.accepts[addr])
	l.opened = append(l.opened, listener)
	l.acceptors.Add(1)
	return &admittingListener{Listener: listener, loop: l.loop}, nil
}

// connectionOpened is called on a listener's goroutine for an accepted connection. nbio also calls it for a dialed
// connection once that is writable. It blocks while too many accepted connections are queued for the loop.
func (l *listeners) connectionOpened(socket *nbio.Conn) {
	if socket.Session() != nil { // dialed
		return
	}
	c := newAcceptedConn(l.loop, socket, l.bound.find(socket.LocalAddr()))
	l.loop.poller.setSession(socket, c)
	l.loop.admission.opened()
	if !l.loop.queue.push(event{kind: connectionAccepted, conn: c}) {
		socket.Close()
	}
}

// acceptFailed is called on a listener's goroutine. It blocks for acceptRetryDelay.
func (l *listeners) acceptFailed(err error) {
	if errors.Is(err, net.ErrClosed) {
		// The loop has closed the listener. nbio would stop this goroutine by setting a flag, but the goroutine clears
		// the flag when it starts. If it started late, it would accept forever.
		l.acceptors.Done()
		runtime.Goexit()
	}
	l.logger.Warn("accept_failed", slog.Any("err", err))
	if IsDescriptorExhausted(err) {
		l.loop.idleCloser.requestClose()
	}
	time.Sleep(acceptRetryDelay)
}

// closeAll closes the listeners. It does not wait for their goroutines.
func (l *listeners) closeAll() {
	for _, listener := range l.opened {
		listener.Close()
	}
}

// awaitStopped returns when no goroutine accepts connections any more, or ctx is done. It blocks and must not be called
// on the event loop.
func (l *listeners) awaitStopped(ctx context.Context) { await(ctx, &l.acceptors) }

// admittingListener admits a connection before nbio's poller reads it, so that a rejected connection is closed without
// reading any of its bytes. It delays an admitted connection while the poller may hold an event of an earlier
// connection with the same descriptor.
type admittingListener struct {
	net.Listener
	loop *Loop
}

// Accept returns the next admitted connection. It blocks and must not be called on the event loop.
func (a *admittingListener) Accept() (net.Conn, error) {
	for {
		conn, err := a.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if a.loop.admission.admit() {
			return a.convertConn(conn)
		}
		conn.Close()
		a.loop.Post(func() { a.loop.clients.rejections.count++ })
	}
}

// convertConn converts an admitted connection to nbio's type, which gives it the descriptor that is polled. It returns
// the connection once that descriptor can be polled. It blocks and must not be called on the event loop.
func (a *admittingListener) convertConn(conn net.Conn) (net.Conn, error) {
	socket, err := convertConn(conn)
	if err != nil {
		conn.Close()
		return nil, err
	}
	err = a.loop.descriptors.awaitReusable()
	if err != nil {
		socket.Close()
		return nil, net.ErrClosed
	}
	return socket, nil
}

// bindings maps the local address of a connection to the accept function of its listener.
type bindings map[string]acceptFunc

// add adds a listener. A listener on all addresses is found by its port alone, because each of its connections has the
// local address that the peer dialed.
func (b bindings) add(addr net.Addr, accept acceptFunc) {
	tcp, ok := addr.(*net.TCPAddr)
	if ok && tcp.IP.IsUnspecified() {
		b[strconv.Itoa(tcp.Port)] = accept
		return
	}
	b[addr.String()] = accept
}

// find returns the accept function for a local address. It returns nil if no listener has that address.
func (b bindings) find(addr net.Addr) acceptFunc {
	accept := b[addr.String()]
	if accept != nil {
		return accept
	}
	tcp, ok := addr.(*net.TCPAddr)
	if !ok {
		return nil
	}
	return b[strconv.Itoa(tcp.Port)]
}
