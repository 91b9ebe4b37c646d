package eventloop

import (
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

const (
	readBufferSize = 32 << 10 // bytes, for the one poller and not for each connection

	// maxReads is how many buffers the poller reads of a connection before it reads others. It holds a worker's 32
	// responses of 16 KiB and their heads.
	maxReadsPerCall = maxUnreadPerPeer / readBufferSize

	// readPause is how long the poller waits after a read that failed for lack of memory, since nbio calls it again at
	// once.
	readRetryDelay = time.Millisecond

	// maxReadPauses is how many such pauses a connection may cost before it is ended with what its peer left unread.
	maxMemoryFailures = 100
)

// readFunc reads from a socket into a buffer, as read(2) does.
type readFunc = func(socket *nbio.Conn, buffer []byte) (size int, err error)

// readSocket reads from a socket.
func readSocket(socket *nbio.Conn, buffer []byte) (size int, err error) {
	_, size, err = socket.ReadAndGetConn(&buffer)
	return size, err
}

// connReader reads one connection and queues what it has read for the loop. The poller and the loop's goroutine share
// it: whoever reads the socket holds mu. Data is queued in the order in which it was read.
type connReader struct {
	conn  *Conn
	queue *queue
	read  readFunc

	mu             sync.Mutex // held while the socket is read
	stopped        bool       // nothing more is read; guarded by mu
	memoryFailures int        // after reads that failed for want of memory; guarded by mu

	queuedReads atomic.Int32 // reads that are queued for the loop and not handled
}

// readAvailable reads what the kernel holds and queues it for the loop. The poller calls it. It blocks while the queue
// is full and must not be called on the event loop. When the peer has ended the connection, it reads to the end,
// because the poller closes the connection after it.
func (r *connReader) readAvailable(socket *nbio.Conn, pollerBuffer []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for reads := 0; !r.stopped; reads++ {
		if reads >= maxReadsPerCall && !peerHasClosed(socket) {
			return
		}
		size, err := r.read(socket, pollerBuffer)
		if size > 0 {
			r.queue.push(r.newEvent(pollerBuffer[:size]))
		}
		switch {
		case err == nil && size < len(pollerBuffer):
			return
		case err != nil && !r.handleReadError(socket, err):
			return
		}
	}
}

// handleReadError reports whether a socket of which a read failed is read again at once, and closes it after an error that
// is for good. After want of memory it blocks for readPause. The caller holds mu.
func (r *connReader) handleReadError(socket *nbio.Conn, err error) bool {
	switch {
	case errors.Is(err, syscall.EINTR):
		return true
	case errors.Is(err, syscall.EAGAIN):
		return false
	case isOutOfMemory(err):
		time.Sleep(readRetryDelay)
		r.memoryFailures++
		return r.memoryFailures < maxMemoryFailures && peerHasClosed(socket)
	}
	socket.CloseWithError(err)
	return false
}

// isOutOfMemory reports whether a read failed because the kernel has no memory for it, as a rule for a moment. There
// may be data all the same.
func isOutOfMemory(err error) bool {
	return errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ENOBUFS)
}

// newEvent returns the event of a read, with a copy of its data, and counts it. The caller holds mu and queues it.
func (r *connReader) newEvent(data []byte) event {
	r.queuedReads.Add(1)
	return event{kind: dataReceived, conn: r.conn, data: append([]byte(nil), data...), at: r.queue.clock()}
}

// recordHandled records that the loop has begun to handle a queued read.
func (r *connReader) recordHandled() { r.queuedReads.Add(-1) }

// stopIfDrained stops reading when nothing has arrived that the loop has not handled, calls closeSocket, and reports
// whether it did. It reads once more under mu, which keeps the poller from reading: whatever has been read is handled,
// and what arrives later finds the connection closed. The loop's goroutine calls it. It does not wait for mu.
func (r *connReader) stopIfDrained(socket *nbio.Conn, buffer []byte, closeSocket func()) bool {
	if !r.mu.TryLock() {
		return false
	}
	defer r.mu.Unlock()
	if r.queuedReads.Load() > 0 || r.readOnce(socket, buffer) {
		return false
	}
	r.stopped = true
	closeSocket()
	return true
}

// readOnce queues what the kernel holds, up to the size of buffer, and reports whether there was or may be anything.
// The caller holds mu. It runs on the loop's goroutine, which must not wait for the queue.
func (r *connReader) readOnce(socket *nbio.Conn, buffer []byte) bool {
	if socket == nil {
		return false
	}
	for {
		size, err := r.read(socket, buffer)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if size > 0 {
			r.queue.pushNonblocking(r.newEvent(buffer[:size]))
		}
		return size > 0 || isOutOfMemory(err)
	}
}

// peerHasClosed reports whether the peer of a stream has ended it. What it sent before may still have to be read.
func peerHasClosed(socket *nbio.Conn) bool {
	closed := false
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) { // nbio's never fails
		state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		ready, err := unix.Poll(state, 0)
		closed = err == nil && ready > 0
	})
	return closed
}
