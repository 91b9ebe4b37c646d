package eventloop

import (
	"errors"
	"sync/atomic"
	"syscall"

	"github.com/lesismal/nbio"
)

const (
	// maxUnreadByPeer is how many bytes one peer may leave unread: 32 responses of 16 KiB and their heads.
	maxUnreadPerPeer = 640 << 10
	// maxVectors is how many buffers one gathered write passes; the kernel accepts 1,024.
	maxBuffersPerWrite = 512
)

// connWriter holds the bytes that were written to one connection and have not left this program: first those that nbio
// holds, then those that are queued for the end of the turn. The loop's goroutine owns it. Pollers only call
// countUnread.
type connWriter struct {
	queued       [][]byte
	unsentBytes  int          // bytes that had not left when the connection ended
	unreadBytes  atomic.Int64 // bytes that nbio holds; the poller subtracts what it has written
	total        *unreadTotal
	isUnixSocket bool
}

// unreadTotal counts the bytes that nbio holds for all connections of the loop: those that their peers have yet to
// read. It is safe for concurrent use.
type unreadTotal struct {
	max   int64 // bytes; a peer that reads too slowly beyond it is closed
	bytes atomic.Int64
}

// add adds bytes; a negative size subtracts them.
func (u *unreadTotal) add(size int64) { u.bytes.Add(size) }

// isExceeded reports whether peers leave too many bytes unread.
func (u *unreadTotal) isExceeded() bool { return u.bytes.Load() > u.max }

// queue adds buffers and reports whether they are the first. The writer keeps them until they are written.
func (w *connWriter) queue(bufs [][]byte) (first bool) {
	first = len(w.queued) == 0
	w.queued = append(w.queued, bufs...)
	return first
}

// countUnread adds bytes to those that nbio holds; a negative size subtracts them. Any goroutine may call it.
func (w *connWriter) countUnread(size int) {
	w.unreadBytes.Add(int64(size))
	w.total.add(int64(size))
}

// hasUnread reports whether nbio holds bytes, which the peer has yet to read.
func (w *connWriter) hasUnread() bool { return w.unreadBytes.Load() > 0 }

// isEmpty reports whether all bytes have left this program.
func (w *connWriter) isEmpty() bool { return len(w.queued) == 0 && !w.hasUnread() }

// pendingBytes is the number of bytes that have not left this program.
func (w *connWriter) pendingBytes() int { return int(w.unreadBytes.Load()) + totalSize(w.queued) }

// unsent is the number of bytes that had not left when the connection ended, and of those that were queued later.
func (w *connWriter) unsent() int { return w.unsentBytes + totalSize(w.queued) }

// connectionClosed counts the bytes that nbio held as unsent: no peer can read them any more.
func (w *connWriter) connectionClosed() {
	unread := w.unreadBytes.Swap(0)
	w.total.add(-unread)
	w.unsentBytes += int(max(unread, 0))
}

// countQueuedAsUnsent counts the queued bytes as unsent. The caller clears the queue.
func (w *connWriter) countQueuedAsUnsent() { w.unsentBytes += totalSize(w.queued) }

// clear empties the queue and keeps its memory.
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
// writes nothing while nbio holds bytes: nbio's Writev reports what it wrote (OnWrittenSize) only after a short write,
// so the caller could not know whether nbio wrote the bytes or held them.
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
		w.countUnread(written) // OnWrittenSize has already subtracted it
	}
	return written, nil
}

// bufferRest has nbio hold what is left of batch after its first written bytes. nbio's Writev holds only the buffer in
// which a short write ended and drops those after it. It holds nothing when the socket accepts no byte at all. What it
// leaves out is passed to Write, which holds everything. With an error it returns the number of bytes that were not
// passed on.
func (w *connWriter) bufferRest(socket *nbio.Conn, batch [][]byte, written int) (unsent int, err error) {
	for i, buf := range batch {
		switch {
		case written >= len(buf):
			written -= len(buf)
		case written > 0: // Writev holds the rest of this one
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

// totalSize is the number of bytes in buffers.
func totalSize(bufs [][]byte) (size int) {
	for _, buf := range bufs {
		size += len(buf)
	}
	return size
}
