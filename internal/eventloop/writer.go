package eventloop

import (
	"errors"
	"sync/atomic"
	"syscall"

	"github.com/lesismal/nbio"
)

const (
	// maxUnreadPerPeer is how many bytes one peer may leave unread: 32 responses of 16 KiB with their headers.
	maxUnreadPerPeer = 640 << 10
	// maxBuffersPerWrite is how many buffers are passed to one gathered write. The kernel accepts 1,024.
	maxBuffersPerWrite = 512
)

// connWriter holds the bytes that were written to one connection and that the kernel has not accepted yet: first those
// that nbio buffers, then those that are queued for the end of the turn. The loop's goroutine owns it. The poller only
// calls countUnread.
type connWriter struct {
	queued       [][]byte
	unsentBytes  int          // bytes that the kernel had not accepted when the connection was closed
	unreadBytes  atomic.Int64 // bytes that nbio buffers; the poller subtracts what it has written
	total        *unreadTotal
	isUnixSocket bool
}

// unreadTotal counts the bytes that nbio buffers for all connections of the loop, because their peers have not read
// them yet. It is safe for concurrent use.
type unreadTotal struct {
	max   int64 // in bytes; beyond it, connections to peers that do not read are closed
	bytes atomic.Int64
}

// add adds size bytes. A negative size subtracts them.
func (u *unreadTotal) add(size int64) { u.bytes.Add(size) }

// isExceeded reports whether all peers together leave too many bytes unread.
func (u *unreadTotal) isExceeded() bool { return u.bytes.Load() > u.max }

// queue adds buffers and reports whether the queue was empty. The writer keeps the buffers until they are written.
func (w *connWriter) queue(bufs [][]byte) (first bool) {
	first = len(w.queued) == 0
	w.queued = append(w.queued, bufs...)
	return first
}

// countUnread adds size to the number of bytes that nbio buffers. A negative size subtracts. Any goroutine may call it.
func (w *connWriter) countUnread(size int) {
	w.unreadBytes.Add(int64(size))
	w.total.add(int64(size))
}

// hasUnread reports whether nbio buffers bytes, which the peer has not read yet.
func (w *connWriter) hasUnread() bool { return w.unreadBytes.Load() > 0 }

// isEmpty reports whether the kernel has accepted all bytes.
func (w *connWriter) isEmpty() bool { return len(w.queued) == 0 && !w.hasUnread() }

// pendingBytes returns the number of bytes that the kernel has not accepted yet.
func (w *connWriter) pendingBytes() int { return int(w.unreadBytes.Load()) + totalSize(w.queued) }

// unsent returns the number of bytes that the kernel had not accepted when the connection was closed, plus the number
// of bytes that were queued later.
func (w *connWriter) unsent() int { return w.unsentBytes + totalSize(w.queued) }

// connectionClosed counts the bytes that nbio buffered as unsent, because the peer can't read them any more.
func (w *connWriter) connectionClosed() {
	unread := w.unreadBytes.Swap(0)
	w.total.add(-unread)
	w.unsentBytes += int(max(unread, 0))
}

// countQueuedAsUnsent counts the queued bytes as unsent. The caller clears the queue.
func (w *connWriter) countQueuedAsUnsent() { w.unsentBytes += totalSize(w.queued) }

// clear empties the queue and keeps its memory for reuse.
func (w *connWriter) clear() {
	clear(w.queued)
	w.queued = w.queued[:0]
}

// write writes the queued buffers in as few system calls as possible. The caller clears the queue.
func (w *connWriter) write(socket *nbio.Conn) error {
	for rest := w.queued; len(rest) > 0; {
		batch := rest[:min(len(rest), maxBuffersPerWrite)]
		rest = rest[len(batch):]
		written, err := w.writeVectors(socket, batch)
		if err != nil {
			w.unsentBytes += totalSize(batch) + totalSize(rest)
			return err
		}
		unsent, err := w.bufferRest(socket, batch, written)
		if err != nil {
			w.unsentBytes += unsent + totalSize(rest)
			return err
		}
	}
	return nil
}

// writeVectors writes as much of batch as the kernel accepts in one system call, and returns the number of bytes. It
// writes nothing while nbio buffers bytes: nbio's Writev calls OnWrittenSize only after a short write, so the caller
// could not know whether nbio wrote the bytes or buffered them.
func (w *connWriter) writeVectors(socket *nbio.Conn, batch [][]byte) (written int, err error) {
	if len(batch) == 1 || w.unreadBytes.Load() != 0 {
		return 0, nil
	}
	written, err = socket.Writev(batch)
	if err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR) {
		return 0, err
	}
	written = max(written, 0)
	if written > 0 && written < totalSize(batch) {
		w.countUnread(written) // OnWrittenSize has already subtracted them
	}
	return written, nil
}

// bufferRest makes nbio buffer what is left of batch after its first written bytes. After a short write, nbio's Writev
// buffers only the rest of the buffer in which the write ended, and drops the buffers after it. If the socket accepts
// no byte at all, Writev buffers nothing. What Writev leaves out is passed to Write, which buffers everything. On an
// error, bufferRest returns the number of bytes that were not passed on.
func (w *connWriter) bufferRest(socket *nbio.Conn, batch [][]byte, written int) (unsent int, err error) {
	for i, buf := range batch {
		switch {
		case written >= len(buf):
			written -= len(buf)
		case written > 0: // Writev has buffered the rest of this one
			w.countUnread(len(buf) - written)
			written = 0
		default:
			w.countUnread(len(buf))
			_, err := socket.Write(buf)
			if err != nil {
				return totalSize(batch[i+1:]), err
			}
		}
	}
	return 0, nil
}

// totalSize returns the total number of bytes in buffers.
func totalSize(bufs [][]byte) (size int) {
	for _, buf := range bufs {
		size += len(buf)
	}
	return size
}
