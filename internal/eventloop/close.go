package eventloop

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// closeTimeout bounds the time that Close takes. The platform kills a router 0.2 s after its graceful shutdown has to
// be over at the latest.
const closeTimeout = 100 * time.Millisecond

// Close ends all goroutines that the loop started, and closes its sockets. It is called once, after Run has returned or
// in its place. Goroutines that don't end in a tenth of a second are not waited for.
func (l *Loop) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	l.queue.close()
	l.cancelDials()
	await(ctx, &l.dials)
	if l.engine == nil {
		return // it was never started
	}
	l.closeListeners(ctx)
	l.awaitPoller(ctx)
	// nbio's engine is last: it may not be told of new connections while it stops. Its only error is that of ctx.
	_ = l.engine.Shutdown(ctx)
}

// await returns once a group's goroutines have ended, or with ctx.
func await(ctx context.Context, group *sync.WaitGroup) {
	ended := make(chan struct{})
	go func() {
		group.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// closeListeners closes the listeners and waits until none accepts any more.
func (l *Loop) closeListeners(ctx context.Context) {
	for _, listener := range l.openListeners {
		listener.Close()
	}
	await(ctx, &l.acceptors)
}

// pollerSignal is the session of a connection by which the poller shows that it runs.
type pollerSignal struct {
	once    sync.Once
	running chan struct{} // closed when data has arrived
}

func (s *pollerSignal) received() { s.once.Do(func() { close(s.running) }) }

// awaitPoller returns once the poller's goroutine runs. nbio ends it by a flag, which the goroutine clears when it
// starts: one that starts late would poll for ever. Where that can't be found out it returns at once.
func (l *Loop) awaitPoller(ctx context.Context) {
	socket, peer, err := socketPair()
	if err != nil {
		return
	}
	defer peer.Close()
	signal := &pollerSignal{running: make(chan struct{})}
	socket.SetSession(signal)
	l.registrations.Add(1)
	_, err = l.engine.AddConn(socket)
	if err != nil {
		return
	}
	defer socket.Close()
	_, err = peer.Write([]byte{0})
	if err != nil {
		return
	}
	select {
	case <-signal.running:
	case <-ctx.Done():
	}
}

// socketPair returns two sockets that are connected to each other, of which the first is nbio's.
func socketPair() (socket *nbio.Conn, peer *os.File, err error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, nil, err
	}
	peer = os.NewFile(uintptr(fds[1]), "peer")
	own := os.NewFile(uintptr(fds[0]), "own")
	defer own.Close()
	std, err := net.FileConn(own)
	if err != nil {
		peer.Close()
		return nil, nil, err
	}
	socket, err = adopt(std)
	if err != nil {
		std.Close()
		peer.Close()
		return nil, nil, err
	}
	return socket, peer, nil
}
