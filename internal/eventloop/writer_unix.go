package eventloop

import (
	"errors"
	"syscall"
	"time"
)

// stalledPause is the time until what a Unix socket did not take is written again.
const stalledPause = 2 * time.Millisecond

// writeUnix writes what is queued for a Unix socket, and reports whether the kernel took it all. What it did not take
// stays queued and is written again: nbio keeps the rest of a short write for TCP alone, but for that of the buffer in
// which a gathered write ended. Until that has left nothing is written behind it.
func (c *Conn) writeUnix() (done bool, err error) {
	for len(c.outgoing) > 0 {
		if c.unreadByPeer.Load() > 0 {
			return false, c.checkStalled()
		}
		written, err := c.socket.Writev(gathered(c.outgoing))
		if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
			return false, c.checkStalled()
		}
		if err != nil {
			return false, err
		}
		c.dropWritten(written)
	}
	return true, nil
}

// gathered returns as many buffers as one call takes, two at the least: nbio writes a single one in another way.
func gathered(bufs [][]byte) [][]byte {
	batch := bufs[:min(len(bufs), maxVectors)]
	if len(batch) == 1 {
		return [][]byte{batch[0], nil}
	}
	return batch
}

// dropWritten takes what was written off the queue, and with it the buffer that was written in part, whose rest nbio
// keeps.
func (c *Conn) dropWritten(written int) {
	if written < totalSize(c.outgoing[:min(len(c.outgoing), maxVectors)]) {
		c.countUnread(written) // as OnWrittenSize has already taken off
	}
	for len(c.outgoing) > 0 && written >= len(c.outgoing[0]) {
		written -= len(c.outgoing[0])
		c.outgoing = c.outgoing[1:]
	}
	if written > 0 {
		c.countUnread(len(c.outgoing[0]) - written)
		c.outgoing = c.outgoing[1:]
	}
}

// checkStalled fails with a SlowPeerError where more is queued than a peer may leave unread.
func (c *Conn) checkStalled() error {
	if size := totalSize(c.outgoing); size > maxUnwritten {
		return &SlowPeerError{UnreadBytes: size}
	}
	return nil
}
