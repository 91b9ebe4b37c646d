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

// minDescriptors is the smallest size of the table of connections that nbio is configured for.
const minDescriptors = 1024

// systemMaxOpenFiles is the size of that table that nbio chose by the limit of the process.
var defaultMaxOpenFiles = nbio.MaxOpenFiles

// engineStart is held while an engine starts: nbio takes its size and its log level from variables of its package.
var engineStartMu sync.Mutex

// poller runs nbio's engine: one goroutine that polls all connections, and one for each listener. Its callbacks queue
// what happened and touch no state of the loop.
type poller struct {
	engine         *nbio.Engine // nil until start
	maxDescriptors int          // of the process
	queue          *queue
	descriptors    *descriptorGuard
	newBarrier     func() (*pollerBarrier, error)
	barrier        *pollerBarrier // nil until start, and where the system has no Unix sockets
	buffer         []byte         // what is read into; owned by the polling goroutine

	calls atomic.Uint64 // of readable, by the polling goroutine

	// registrations counts connections that were handed to the polling goroutine. nbio hands them over by way of the
	// kernel. That orders memory, but the race detector does not know it; it knows this counter.
	registrations atomic.Int64
}

// newPoller returns a poller that does not run yet.
func newPoller(queue *queue, descriptors *descriptorGuard, maxDescriptors int) *poller {
	return &poller{
		queue:          queue,
		descriptors:    descriptors,
		maxDescriptors: maxDescriptors,
		newBarrier:     newPollerBarrier,
		buffer:         make([]byte, readBufferSize),
	}
}

// start opens the listeners and starts the goroutines. Its error wraps a ListenError when an address can't be listened
// on. Where the system has no Unix sockets, descriptors are not guarded.
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

// startEngine starts nbio's engine, and with it all goroutines.
func (p *poller) startEngine(listeners *listeners) (*nbio.Engine, error) {
	engineStartMu.Lock()
	defer engineStartMu.Unlock()
	logging.SetLevel(logging.LevelNone) // the callbacks report its errors to our log
	nbio.MaxOpenFiles = min(defaultMaxOpenFiles, max(p.maxDescriptors, minDescriptors)*2)
	engine := nbio.NewEngine(nbio.Config{
		Network:            "tcp",
		Addrs:              listeners.addrs(),
		NPoller:            1,
		MaxWriteBufferSize: maxUnreadPerPeer,
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

// setSession sets the session of a socket before the polling goroutine may read it.
func (p *poller) setSession(socket *nbio.Conn, session any) {
	socket.SetSession(session)
	p.registrations.Add(1)
}

// watch has the polling goroutine poll a socket. Any goroutine may call it.
func (p *poller) watch(socket *nbio.Conn, session any) error {
	p.setSession(socket, session)
	_, err := p.engine.AddConn(socket)
	return err
}

// socketReadable is called by nbio when a connection has something to read. It blocks while the queue is full.
func (p *poller) socketReadable(socket *nbio.Conn) {
	p.calls.Add(1)
	p.registrations.Load()
	switch session := socket.Session().(type) {
	case *Conn:
		session.reader.readAvailable(socket, p.buffer)
	case *pollerBarrier:
		session.handle(p.buffer)
	}
}

// bytesWritten is called by nbio when the kernel has accepted bytes that nbio held.
func (p *poller) bytesWritten(socket *nbio.Conn, _ []byte, size int) {
	c, ok := socket.Session().(*Conn)
	if ok {
		c.writer.countUnread(-size)
	}
}

// connectionClosed is called by nbio when a connection has ended.
func (p *poller) connectionClosed(socket *nbio.Conn, err error) {
	c, ok := socket.Session().(*Conn)
	if ok {
		p.queue.push(event{kind: connectionClosed, conn: c, err: err})
	}
}

// awaitRunning returns once the polling goroutine runs, or when ctx is done. nbio ends that goroutine by a flag, which
// the goroutine clears when it starts: one that starts late would poll forever. It blocks and must not be called on the
// event loop.
func (p *poller) awaitRunning(ctx context.Context) {
	if p.barrier == nil {
		return
	}
	_ = p.barrier.await(ctx) // where it fails, shutdown is limited by ctx too
}

// shutdown ends the goroutines, or stops waiting for them when ctx is done.
func (p *poller) shutdown(ctx context.Context) {
	_ = p.engine.Shutdown(ctx) // its only error is that of ctx
	if p.barrier != nil {
		p.barrier.close()
	}
}

// socketPair returns two sockets that are connected to each other, of which the first is nbio's.
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
