package eventloop

import (
	"errors"
	"syscall"
)

// maxVectors is how many buffers one gathered write takes; the kernel takes 1,024.
const maxVectors = 512

// Write queues buffers for the end of the turn; the connection keeps them until then.
func (c *Conn) Write(bufs ...[]byte) {
	if c.closed {
		return
	}
	if len(c.outgoing) == 0 {
		c.loop.toFlush = append(c.loop.toFlush, c)
	}
	c.activity.noteResponse(c.loop.now)
	c.outgoing = append(c.outgoing, bufs...)
}

// flush writes what this turn queued.
func (l *Loop) flush() {
	stalled := l.toFlush[:0]
	for _, c := range l.toFlush {
		if !c.flush() {
			stalled = append(stalled, c)
		}
	}
	l.toFlush = stalled // to be flushed again in the next turn
}

// flush writes what is queued, and reports whether nothing is left that has to be written again.
func (c *Conn) flush() bool {
	switch {
	case c.closed || !c.established:
		c.unsentBytes += totalSize(c.outgoing)
	case c.isUnix:
		done, err := c.writeUnix()
		if err == nil && !done {
			return false
		}
		if err != nil {
			c.unsentBytes += totalSize(c.outgoing)
			c.fail(err)
		}
	default:
		err := c.writeOutgoing()
		if err != nil {
			c.fail(err)
		}
	}
	clear(c.outgoing)
	c.outgoing = c.outgoing[:0]
	return true
}

// writeOutgoing writes what is queued in as few system calls as it takes, and keeps count of what the peer has yet to
// take. It fails with a SlowPeerError where that and what all others have yet to take is too much.
func (c *Conn) writeOutgoing() error {
	for rest := c.outgoing; len(rest) > 0; {
		batch := rest[:min(len(rest), maxVectors)]
		rest = rest[len(batch):]
		written, err := c.writeVectors(batch)
		if err != nil {
			c.unsentBytes += totalSize(batch) + totalSize(rest)
			return err
		}
		unsent, err := c.bufferRest(batch, written)
		if err != nil {
			c.unsentBytes += unsent + totalSize(rest)
			return err
		}
	}
	unread := c.unreadByPeer.Load()
	if unread > 0 && c.loop.unreadByPeers.Load() > int64(c.loop.cfg.MaxUnreadBytes) {
		return &SlowPeerError{Addr: c.RemoteAddr(), UnreadBytes: int(unread)}
	}
	return nil
}

// writeVectors writes as much of batch as the kernel takes at once, by one system call, and returns how many bytes that
// was. It writes nothing behind bytes that still wait: nbio's Writev tells of what it wrote (OnWrittenSize) only where
// that was short, so there it would not be known whether it wrote or kept.
func (c *Conn) writeVectors(batch [][]byte) (written int, err error) {
	if len(batch) == 1 || c.unreadByPeer.Load() != 0 {
		return 0, nil
	}
	written, err = c.socket.Writev(batch)
	if err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR) {
		return 0, err
	}
	written = max(written, 0)
	if written > 0 && written < totalSize(batch) {
		c.countUnread(written) // as OnWrittenSize has already taken off
	}
	return written, nil
}

// bufferRest has nbio keep what is left of batch after its first written bytes. nbio's Writev keeps only the buffer in
// which a short write ended and drops those after it, and keeps nothing when the socket takes no byte at all; what it
// leaves out is handed to Write, which keeps all. After an error it returns how many bytes were not handed over.
func (c *Conn) bufferRest(batch [][]byte, written int) (unsent int, err error) {
	for i, buf := range batch {
		switch {
		case written >= len(buf):
			written -= len(buf)
		case written > 0: // Writev kept the rest of this one
			c.countUnread(len(buf) - written)
			written = 0
		default:
			c.countUnread(len(buf))
			_, err := c.socket.Write(buf)
			if err != nil {
				return totalSize(batch[i+1:]), err
			}
		}
	}
	return 0, nil
}

func totalSize(bufs [][]byte) (size int) {
	for _, buf := range bufs {
		size += len(buf)
	}
	return size
}

// countUnread counts bytes that the peer has yet to take; a negative count is of bytes that it took.
func (c *Conn) countUnread(size int) {
	c.unreadByPeer.Add(int64(size))
	c.loop.unreadByPeers.Add(int64(size))
}

// UnsentBytes is how many of the last bytes that were written to a connection that has ended never left this program:
// the kernel did not take them. What it took may have reached the peer.
func (c *Conn) UnsentBytes() int { return c.unsentBytes + totalSize(c.outgoing) }

// UnwrittenBytes is how many bytes accepted peers have yet to take, what this turn queued for them included.
func (l *Loop) UnwrittenBytes() int {
	sum := int64(0)
	for c := range l.accepted {
		sum += c.unreadByPeer.Load() + int64(totalSize(c.outgoing))
	}
	return int(sum)
}
