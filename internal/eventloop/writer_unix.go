package eventloop

import (
	"errors"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// stalledPause is the time until a Unix socket that accepted no more bytes is written to again.
const stalledRetryDelay = 2 * time.Millisecond

// writeUnix writes the queued buffers to a Unix socket, and reports whether the kernel accepted them all. The others
// stay queued and are written again: after a short write to a Unix socket nbio holds only the rest of the buffer in
// which a gathered write ended. Nothing is written behind that rest until it has left.
func (w *connWriter) writeUnix(socket *nbio.Conn) (done bool, err error) {
	for len(w.queued) > 0 {
		if w.hasUnread() {
			return false, w.checkQueuedLimit()
		}
		written, err := socket.Writev(nextBatch(w.queued))
		if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
			return false, w.checkQueuedLimit()
		}
		if err != nil {
			return false, err
		}
		w.removeWritten(written)
	}
	return true, nil
}

// nextBatch returns as many buffers as one system call accepts. It returns at least two, since nbio writes a single
// buffer in another way.
func nextBatch(bufs [][]byte) [][]byte {
	batch := bufs[:min(len(bufs), maxBuffersPerWrite)]
	if len(batch) == 1 {
		return [][]byte{batch[0], nil}
	}
	return batch
}

// removeWritten removes the written buffers from the queue, and the buffer that was written in part: nbio holds its rest.
func (w *connWriter) removeWritten(written int) {
	if written < totalSize(w.queued[:min(len(w.queued), maxBuffersPerWrite)]) {
		w.countUnread(written) // OnWrittenSize has already subtracted it
	}
	for len(w.queued) > 0 && written >= len(w.queued[0]) {
		written -= len(w.queued[0])
		w.queued = w.queued[1:]
	}
	if written > 0 {
		w.countUnread(len(w.queued[0]) - written)
		w.queued = w.queued[1:]
	}
}

// checkQueuedLimit returns a SlowPeerError when more bytes are queued than a peer may leave unread.
func (w *connWriter) checkQueuedLimit() error {
	if size := totalSize(w.queued); size > maxUnreadPerPeer {
		return &SlowPeerError{UnreadBytes: size}
	}
	return nil
}
