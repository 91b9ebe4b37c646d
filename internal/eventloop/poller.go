package eventloop

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
)

// minDescriptors is the smallest number of descriptors for which nbio's table of connections is sized.
const minDescriptors = 1024

// defaultMaxOpenFiles is the size that nbio chose for that table, by the descriptor limit of the process.
var defaultMaxOpenFiles = nbio.MaxOpenFiles

// engineStartMu is held while an engine starts, because nbio takes the table's size and its log level from package
// variables.
var engineStartMu sync.Mutex

// poller runs nbio's engine, which has one goroutine that polls all connections, and one for each listener. Its
// callbacks queue events and access no state of the loop.
type poller struct {
	engine         *nbio.Engine // nil until start
	maxDescriptors int          // descriptor limit of the process
	queue          *queue
	descriptors    *descriptorGuard
	newBarrier     func() (*pollerBarrier, error)
	barrier        *pollerBarrier // nil until start, and on systems without Unix sockets
	buffer         []byte         // read buffer; owned by the polling goroutine
	unfinished     []*nbio.Conn   // sockets with more data than one call reads; owned by the polling goroutine

	calls atomic.Uint64 // number of calls of socketReadable

	// registrations counts the connections that were handed to the polling goroutine. nbio hands them over through the
	// kernel, which orders memory accesses. The race detector does not know that order, but it knows the order of
	// accesses to this counter.
	registrations atomic.Int64
}

// newPoller returns a poller that has not been started.
func newPoller(queue *queue, descriptors *descriptorGuard, maxDescriptors int) *poller {
	return &poller{
		queue:          queue,
		descriptors:    descriptors,
		maxDescriptors: maxDescriptors,
		newBarrier:     newPollerBarrier,
		buffer:         make([]byte, readBufferSize),
	}
}

// start opens the listeners and starts the goroutines. Its error wraps a ListenError if it can't listen on an address.
// On a system without Unix sockets, descriptors are not guarded.
func (p *poller) start(listeners *listeners) error {
	barrier, err := p.newBarrier()
	switch {
	case errors.Is(err, syscall.EAFNOSUPPORT):
		listeners.logger.Warn("descriptor_guard_unavailable", slog.Any("err", err))
	case err != nil:
		return err
	}
	p.barrier = barrier
	p.descriptors.barrier = barrier
	p.engine, err = p.startEngine(listeners)
	switch {
	case barrier == nil:
		return err
	case err != nil:
		barrier.discard()
		return err
	}
	return p.watch(barrier.socket, barrier)
}

// startEngine starts nbio's engine and all its goroutines.
func (p *poller) startEngine(listeners *listeners) (*nbio.Engine, error) {
	engineStartMu.Lock()
	defer engineStartMu.Unlock()
	logging.SetLevel(logging.LevelNone) // the callbacks log nbio's errors
	nbio.MaxOpenFiles = min(defaultMaxOpenFiles, max(p.maxDescriptors, minDescriptors)*2)
	engine := nbio.NewEngine(nbio.Config{
		Network:            "tcp",
		Addrs:              listeners.addrs(),
		NPoller:            1,
		MaxWriteBufferSize: maxUnreadPerPeer,
		EpollMod:           nbio.EPOLLET, // a connection that is left unread must not be reported again and again
		Listen:             listeners.open,
	})
	engine.OnOpen(listeners.connectionOpened)
	engine.OnRead(p.socketReadable)
	engine.OnWrittenSize(p.bytesWritten)
	engine.OnClose(p.connectionClosed)
	engine.OnAcceptError(listeners.acceptFailed)
	err := engine.Start()
	var listenError *ListenError
	switch {
	case errors.As(err, &listenError):
		return nil, listenError
	case err != nil:
		return nil, fmt.Errorf("listen: %w", err)
	}
	return engine, nil
}

// setSession sets the session of a socket before the polling goroutine can read the socket.
func (p *poller) setSession(socket *nbio.Conn, session any) {
	socket.SetSession(session)
	p.registrations.Add(1)
}

// watch makes the polling goroutine poll a socket. Any goroutine may call it.
func (p *poller) watch(socket *nbio.Conn, session any) error {
	p.setSession(socket, session)
	_, err := p.engine.AddConn(socket)
	return err
}

// socketReadable is called by nbio when a socket is readable. It blocks while the queue is full.
func (p *poller) socketReadable(socket *nbio.Conn) {
	p.calls.Add(1)
	p.registrations.Load()
	switch session := socket.Session().(type) {
	case *Conn:
		p.readAvailable(socket, session)
	case *pollerBarrier:
		session.handle(p.buffer)
		p.readUnfinished()
	}
}

// readAvailable reads a connection. If there is more than one call reads, the polling goroutine goes on after it has
// handled the other events that it holds.
func (p *poller) readAvailable(socket *nbio.Conn, c *Conn) {
	for c.reader.readAvailable(socket, p.buffer) {
		if p.barrier != nil {
			p.unfinished = append(p.unfinished, socket)
			if len(p.unfinished) == 1 {
				_ = p.barrier.signal() // fails only once the socket is closed, together with the loop
			}
			return
		}
	}
}

// readUnfinished goes on with the connections that had more data than one call reads.
func (p *poller) readUnfinished() {
	unfinished := p.unfinished
	p.unfinished = nil
	for _, socket := range unfinished {
		p.readAvailable(socket, socket.Session().(*Conn))
	}
}

// bytesWritten is called by nbio when the kernel has accepted bytes that nbio had buffered.
func (p *poller) bytesWritten(socket *nbio.Conn, _ []byte, size int) {
	c, ok := socket.Session().(*Conn)
	if ok {
		c.writer.countUnread(-size)
	}
}

// connectionClosed is called by nbio when a connection has been closed.
func (p *poller) connectionClosed(socket *nbio.Conn, err error) {
	c, ok := socket.Session().(*Conn)
	if ok {
		p.queue.push(event{kind: connectionClosed, conn: c, err: err})
	}
}

// awaitRunning returns once the polling goroutine runs, or ctx is done. nbio stops that goroutine by setting a flag,
// but the goroutine clears the flag when it starts. If it started late, it would poll forever. It blocks and must not
// be called on the event loop.
func (p *poller) awaitRunning(ctx context.Context) {
	if p.barrier == nil {
		return
	}
	_ = p.barrier.await(ctx) // if it fails, ctx still limits shutdown
}

// shutdown stops the goroutines, and waits for them until ctx is done.
func (p *poller) shutdown(ctx context.Context) {
	_ = p.engine.Shutdown(ctx) // its only error is that of ctx
	if p.barrier != nil {
		p.barrier.close()
	}
}

// socketPair returns two sockets that are connected to each other. The first is converted to nbio's type.
func socketPair() (socket *nbio.Conn, peer *os.File, err error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, nil, err
	}
	peer = os.NewFile(uintptr(fds[1]), "peer")
	socketFile := os.NewFile(uintptr(fds[0]), "own")
	defer socketFile.Close()
	netConn, err := net.FileConn(socketFile)
	if err != nil {
		peer.Close()
		return nil, nil, err
	}
	socket, err = convertConn(netConn)
	if err != nil {
		netConn.Close()
		peer.Close()
		return nil, nil, err
	}
	return socket, peer, nil
}
