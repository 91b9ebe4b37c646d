package eventloop

import (
	"bytes"
	"errors"
	"sync"
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

	// readRetryDelay is how long the poller waits after a read that failed for lack of memory, before it reads again.
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
// whichever reads the socket holds mu. Data is queued in the order in which it was read. Polling is edge-triggered: the
// poller reports data once, so whoever stops before the end of the data sees to it that the rest is read.
type connReader struct {
	conn        *Conn
	queue       *queue
	read        readFunc
	isDatagrams bool // each read returns one datagram

	mu             sync.Mutex // held while the socket is read
	stopped        bool       // nothing more is read; guarded by mu
	memoryFailures int        // reads that failed for lack of memory; guarded by mu

	inbox inbox // of an accepted connection; guarded by the queue, and paused changes only while mu is held
}

// readAvailable reads the data that the kernel holds and queues it for the loop. The poller calls it, again if it
// reports that it is unfinished. For a dialed connection it blocks while the queue is full, and must not be called on
// the event loop. If the peer of a dialed connection has closed it, it reads to the end, because the poller closes the
// connection afterwards. An accepted connection whose client has closed it is not read any further: nobody waits for
// the responses.
func (r *connReader) readAvailable(socket *nbio.Conn, pollerBuffer []byte) (unfinished bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for reads := 0; r.mayRead(); reads++ {
		if reads >= maxReadsPerCall && !peerHasClosed(socket) {
			return true
		}
		size, err := r.read(socket, pollerBuffer)
		if size > 0 {
			r.push(pollerBuffer[:size])
		}
		isLast := size < len(pollerBuffer) && !r.isDatagrams
		if err != nil {
			isLast, unfinished = r.handleReadError(socket, err)
		}
		if isLast {
			return unfinished
		}
	}
	return false
}

// mayRead reports whether the poller may read. If it may not because too much of an accepted connection's data is
// waiting, the loop goes on. The caller must hold mu.
func (r *connReader) mayRead() bool {
	return !r.stopped && (!r.conn.isAccepted || r.queue.mayRead(r.conn))
}

// push queues data that the poller has read. The caller must hold mu.
func (r *connReader) push(data []byte) {
	if r.conn.isAccepted {
		r.queue.pushClientData(r.conn, bytes.Clone(data))
		return
	}
	r.queue.push(event{kind: dataReceived, conn: r.conn, data: bytes.Clone(data), at: r.queue.clock()})
}

// handleReadError handles a failed read, and reports whether it was the last one for now, and whether the poller has to
// read again later. It closes the socket after a permanent error. After a lack of memory, it blocks for readRetryDelay.
// The caller must hold mu.
func (r *connReader) handleReadError(socket *nbio.Conn, err error) (isLast, unfinished bool) {
	switch {
	case errors.Is(err, syscall.EINTR):
		return false, false
	case errors.Is(err, syscall.EAGAIN):
		return true, false
	case isOutOfMemory(err):
		time.Sleep(readRetryDelay)
		r.memoryFailures++
		again := r.memoryFailures < maxMemoryFailures && peerHasClosed(socket)
		return !again, true
	}
	socket.CloseWithError(err)
	return true, false
}

// isOutOfMemory reports whether a read failed because the kernel has no memory for it, which is usually temporary.
// There may still be data to read.
func isOutOfMemory(err error) bool {
	return errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ENOBUFS)
}

// readPaused reads data of an accepted connection that the poller has left to the loop, and returns it. It reports
// whether there may be more: if the buffer was filled, or the kernel had no memory. Otherwise the poller reads the
// connection again. The loop's goroutine calls it.
func (r *connReader) readPaused(socket *nbio.Conn, buffer []byte) (read pendingRead, more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return pendingRead{}, !r.queue.resume(r.conn)
	}
	size, err := r.read(socket, buffer)
	for errors.Is(err, syscall.EINTR) {
		size, err = r.read(socket, buffer)
	}
	more = size == len(buffer) || isOutOfMemory(err) || !r.queue.resume(r.conn)
	return pendingRead{data: bytes.Clone(buffer[:max(size, 0)]), at: r.queue.clock()}, more
}

// stopIfDrained stops reading and calls closeSocket if no data has arrived that the loop has not handled. It reports
// whether it did. It reads once more while it holds mu, which keeps the poller from reading. Therefore, all data that
// was read has been handled, and data that arrives later finds the connection closed. The loop's goroutine calls it. If
// the poller holds mu, stopIfDrained does not wait and returns false.
func (r *connReader) stopIfDrained(socket *nbio.Conn, buffer []byte, closeSocket func()) bool {
	if !r.mu.TryLock() {
		return false
	}
	defer r.mu.Unlock()
	if !r.inbox.isEmpty() || r.readOnce(socket, buffer) {
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
			r.queue.pushClientData(r.conn, bytes.Clone(buffer[:size]))
		}
		if size == len(buffer) || isOutOfMemory(err) {
			r.queue.pause(r.conn)
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
