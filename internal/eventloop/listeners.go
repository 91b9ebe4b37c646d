package eventloop

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"strconv"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
)

const (
	maxUnwritten = 640 << 10 // bytes a peer may leave unread: 32 responses of 16 KiB and their heads

	// acceptPause is how long accepting waits after an error. Out of descriptors accept fails at once, and nbio would
	// call it again without end.
	acceptPause = 20 * time.Millisecond

	minDescriptors = 1024 // of the table that nbio keeps of connections
)

// acceptFunc returns the handler of an accepted connection.
type acceptFunc = func(*Conn) AcceptedHandler

// listenFunc opens a listener.
type listenFunc = func(network, addr string) (net.Listener, error)

// Listen has connections to addr handled by what accept returns. It is called before Start.
func (l *Loop) Listen(addr string, accept func(*Conn) AcceptedHandler) { l.listeners[addr] = accept }

// Start opens the listeners and begins to queue what happens. Its error is a ListenError where an address can't be
// listened on.
func (l *Loop) Start() error {
	logging.SetLevel(logging.LevelNone) // its errors reach our log by the callbacks
	nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, max(l.cfg.MaxDescriptors, minDescriptors)*2)
	bound := bindings{}
	engine := nbio.NewEngine(l.engineConfig(bound))
	engine.OnOpen(func(socket *nbio.Conn) { l.opened(socket, bound) })
	engine.OnRead(l.readable)
	engine.OnWrittenSize(func(socket *nbio.Conn, _ []byte, size int) {
		c, ok := socket.Session().(*Conn)
		if ok {
			c.countUnread(-size)
		}
	})
	engine.OnClose(func(socket *nbio.Conn, err error) {
		c, ok := socket.Session().(*Conn)
		if ok {
			l.queue.push(event{kind: connectionEnded, conn: c, err: err})
		}
	})
	engine.OnAcceptError(l.acceptFailed)
	err := engine.Start()
	var listenError *ListenError
	switch {
	case errors.As(err, &listenError):
		return listenError
	case err != nil:
		return fmt.Errorf("listen: %w", err)
	}
	l.engine = engine
	return nil
}

// engineConfig returns nbio's configuration, by which the listeners enter themselves into bound.
func (l *Loop) engineConfig(bound bindings) nbio.Config {
	cfg := nbio.Config{
		Network:            "tcp",
		NPoller:            1,
		MaxWriteBufferSize: maxUnwritten,
		Listen: func(network, addr string) (net.Listener, error) {
			listener, err := l.listen(network, addr)
			if err != nil {
				return nil, &ListenError{Addr: addr, Err: err}
			}
			bound.add(listener.Addr(), l.listeners[addr])
			l.openListeners = append(l.openListeners, listener)
			l.acceptors.Add(1)
			return &admittingListener{Listener: listener, loop: l}, nil
		},
	}
	for addr := range l.listeners {
		cfg.Addrs = append(cfg.Addrs, addr)
	}
	return cfg
}

// Addrs lists the addresses that the loop listens on.
func (l *Loop) Addrs() []string { return l.engine.Addrs }

// opened is called by a listener, and by a dial whose connection is announced once it can be written to.
func (l *Loop) opened(socket *nbio.Conn, bound bindings) {
	if socket.Session() != nil {
		return
	}
	c := &Conn{loop: l, socket: socket, accept: bound.find(socket.LocalAddr()), isAccepted: true}
	socket.SetSession(c)
	l.registrations.Add(1)
	l.acceptedCount.Add(1)
	if !l.queue.push(event{kind: connectionAccepted, conn: c}) {
		socket.Close()
	}
}

// acceptFailed is called by a listener.
func (l *Loop) acceptFailed(err error) {
	if errors.Is(err, net.ErrClosed) {
		// The loop has closed the listener. nbio would end the goroutine by a flag, which the goroutine clears when it
		// starts: one that starts late would accept for ever.
		l.acceptors.Done()
		runtime.Goexit()
	}
	slog.Warn("accept_failed", slog.Any("err", err))
	if IsDescriptorExhausted(err) {
		l.Post(func() { l.closeIdleClient() })
	}
	time.Sleep(acceptPause)
}

// admittingListener takes a connection in before nbio has its poller read it: where there is no room, it is closed and
// nothing of it has been read.
type admittingListener struct {
	net.Listener
	loop *Loop
}

// Accept waits for a connection that there is room for.
func (a *admittingListener) Accept() (net.Conn, error) {
	for {
		conn, err := a.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if a.loop.ensureAcceptCapacity() {
			return conn, nil
		}
		conn.Close()
		a.loop.Post(func() { a.loop.rejected.count++ })
	}
}

// ensureAcceptCapacity reports whether one more connection may be accepted, for which an idle one is closed where there
// are too many. It is called by listeners.
func (l *Loop) ensureAcceptCapacity() bool {
	return l.acceptedCount.Load() < int64(l.cfg.MaxAccepted) || l.CloseIdleClients()
}

// bindings finds the listener of a connection by the address that it was made to.
type bindings map[string]acceptFunc

// add enters a listener; one on all addresses is known by its port alone, since each of its connections has the address
// that the peer chose.
func (b bindings) add(addr net.Addr, accept acceptFunc) {
	tcp, ok := addr.(*net.TCPAddr)
	if ok && tcp.IP.IsUnspecified() {
		b[strconv.Itoa(tcp.Port)] = accept
		return
	}
	b[addr.String()] = accept
}

// find returns what a listener accepts with, nil for an address that none listens on.
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
