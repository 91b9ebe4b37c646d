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
	readBufferSize = 32 << 10 // in bytes; the poller uses one buffer for all connections

	// maxReadsPerCall is how many buffers the poller reads from a connection before it reads others. It is enough for
	// 32 responses of 16 KiB from a worker, with their headers.
	maxReadsPerCall = maxUnreadPerPeer / readBufferSize

	// readRetryDelay is how long the poller waits after a read that failed for lack of memory, because nbio would call
	// it again at once.
	readRetryDelay = time.Millisecond

	// maxMemoryFailures is how often reads of a connection may fail for lack of memory. After that, a connection
	// that its peer has closed is closed on this side too, and the data that was not read is lost.
	maxMemoryFailures = 100
)

// readFunc reads from a socket into a buffer, like read(2).
type readFunc = func(socket *nbio.Conn, buffer []byte) (size int, err error)

// readSocket reads from a socket.
func readSocket(socket *nbio.Conn, buffer []byte) (size int, err error) {
	_, size, err = socket.ReadAndGetConn(&buffer)
	return size, err
}

// connReader reads one connection and queues the data for the loop. The poller and the loop's goroutine share it:
// whichever reads the socket holds mu. Data is queued in the order in which it was read.
type connReader struct {
	conn  *Conn
	queue *queue
	read  readFunc

	mu             sync.Mutex // held while the socket is read
	stopped        bool       // nothing more is read; guarded by mu
	memoryFailures int        // reads that failed for lack of memory; guarded by mu

	queuedReads atomic.Int32 // reads that are queued for the loop and not handled yet
}

// readAvailable reads the data that the kernel holds and queues it for the loop. The poller calls it. It blocks while
// the queue is full and must not be called on the event loop. If the peer has closed the connection, it reads to the
// end, because the poller closes the connection afterwards.
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

// handleReadError handles a failed read, and reports whether the socket is to be read again at once. It closes the
// socket after a permanent error. After a lack of memory, it blocks for readRetryDelay. The caller must hold mu.
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

// isOutOfMemory reports whether a read failed because the kernel has no memory for it, which is usually temporary.
// There may still be data to read.
func isOutOfMemory(err error) bool {
	return errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ENOBUFS)
}

// newEvent returns the event of a read, with a copy of its data, and counts it. The caller must hold mu and queue the
// event.
func (r *connReader) newEvent(data []byte) event {
	r.queuedReads.Add(1)
	return event{kind: dataReceived, conn: r.conn, data: append([]byte(nil), data...), at: r.queue.clock()}
}

// recordHandled records that the loop has started to handle a queued read.
func (r *connReader) recordHandled() { r.queuedReads.Add(-1) }

// stopIfDrained stops reading and calls closeSocket if no data has arrived that the loop has not handled. It reports
// whether it did. It reads once more while it holds mu, which keeps the poller from reading. Therefore, all data that
// was read has been handled, and data that arrives later finds the connection closed. The loop's goroutine calls it. If
// the poller holds mu, stopIfDrained does not wait and returns false.
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

// readOnce queues the data that the kernel holds, but no more than fits in buffer. It reports whether there was or may
// be data. The caller must hold mu. It runs on the loop's goroutine, which must not wait for the queue.
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

// peerHasClosed reports whether the peer of a stream has closed it for writing. Data that it sent before may still be
// unread.
func peerHasClosed(socket *nbio.Conn) bool {
	closed := false
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) { // never fails on nbio's sockets
		state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		ready, err := unix.Poll(state, 0)
		closed = err == nil && ready > 0
	})
	return closed
}
