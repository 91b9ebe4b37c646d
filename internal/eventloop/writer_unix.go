package eventloop

import (
	"errors"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// stalledRetryDelay is how long to wait before writing again to a Unix socket that accepted no more bytes.
const stalledRetryDelay = 2 * time.Millisecond

// writeUnix writes the queued buffers to a Unix socket, and reports whether nothing is left in the queue. Buffers that
// are left are written again later: after a short write to a Unix socket, nbio buffers only the rest of the buffer in
// which the write ended. Nothing more is written until nbio has written that rest.
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

// nextBatch returns as many buffers as are passed to one system call. It returns at least two, because nbio writes a
// single buffer in another way.
func nextBatch(bufs [][]byte) [][]byte {
	batch := bufs[:min(len(bufs), maxBuffersPerWrite)]
	if len(batch) == 1 {
		return [][]byte{batch[0], nil}
	}
	return batch
}

// removeWritten removes the written buffers from the queue, and also a buffer that was written in part: nbio buffers
// its rest.
func (w *connWriter) removeWritten(written int) {
	if written < totalSize(w.queued[:min(len(w.queued), maxBuffersPerWrite)]) {
		w.countUnread(written) // OnWrittenSize has already subtracted them
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

// checkQueuedLimit returns a SlowPeerError if more bytes are queued than a peer may leave unread.
func (w *connWriter) checkQueuedLimit() error {
	if size := totalSize(w.queued); size > maxUnreadPerPeer {
		return &SlowPeerError{UnreadBytes: size}
	}
	return nil
}
