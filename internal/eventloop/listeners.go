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

// acceptPause is how long accepting waits after an error. Without descriptors accept fails at once, and nbio would call
// it again without end.
const acceptRetryDelay = 20 * time.Millisecond

// acceptFunc returns the handler of an accepted connection. It runs on the loop's goroutine.
type acceptFunc = func(*Conn) AcceptedHandler

// listenFunc opens a listener.
type listenFunc = func(network, addr string) (net.Listener, error)

// listeners opens the listeners and queues the connections that they accept. Before Start the caller of Listen owns it.
// After it the fields do not change, and each listener's goroutine calls connectionOpened and acceptFailed.
type listeners struct {
	loop      *Loop
	listen    listenFunc
	accepts   map[string]acceptFunc // by the address that was given to Listen
	bound     bindings
	opened    []net.Listener
	acceptors sync.WaitGroup // goroutines of listeners
	logger    *slog.Logger
}

// newListeners returns listeners of no address.
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

// open opens a listener. nbio calls it at its start, for each address, and runs a goroutine that accepts from it.
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

// connectionOpened is called by a listener's goroutine for an accepted connection. nbio also calls it for a dialled one
// once that can be written to. It blocks while the loop has too many accepted connections to handle.
func (l *listeners) connectionOpened(socket *nbio.Conn) {
	if socket.Session() != nil { // dialled
		return
	}
	c := newAcceptedConn(l.loop, socket, l.bound.find(socket.LocalAddr()))
	l.loop.poller.setSession(socket, c)
	l.loop.admission.opened()
	if !l.loop.queue.push(event{kind: connectionAccepted, conn: c}) {
		socket.Close()
	}
}

// acceptFailed is called by a listener's goroutine. It blocks for acceptPause.
func (l *listeners) acceptFailed(err error) {
	if errors.Is(err, net.ErrClosed) {
		// The loop has closed the listener. nbio would end the goroutine by a flag, which the goroutine clears when it
		// starts: one that starts late would accept forever.
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

// awaitStopped returns when no goroutine accepts any more, or ctx is done. It blocks and must not be called on the event
// loop.
func (l *listeners) awaitStopped(ctx context.Context) { await(ctx, &l.acceptors) }

// admittingListener admits a connection before nbio's poller reads it: one that is rejected is closed, and none of its
// bytes has been read. It holds an admitted one back while the poller may hold an event of an earlier connection with
// the same descriptor.
type admittingListener struct {
	net.Listener
	loop *Loop
}

// Accept returns the next connection that is admitted. It blocks and must not be called on the event loop.
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

// convertConn makes an admitted connection nbio's, which gives it the descriptor that it is polled by, and returns it once
// that can be polled. It blocks and must not be called on the event loop.
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

// bindings finds the listener of a connection by the address that it was made to.
type bindings map[string]acceptFunc

// add adds a listener. One on all addresses is found by its port alone, since each of its connections has the address
// that the peer chose.
func (b bindings) add(addr net.Addr, accept acceptFunc) {
	tcp, ok := addr.(*net.TCPAddr)
	if ok && tcp.IP.IsUnspecified() {
		b[strconv.Itoa(tcp.Port)] = accept
		return
	}
	b[addr.String()] = accept
}

// find returns the accept function of a listener. It returns nil for an address that none listens on.
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
