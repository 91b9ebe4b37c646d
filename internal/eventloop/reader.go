package eventloop

import (
	"errors"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

const (
	readBuffer = 32 << 10 // of the one poller, not of each connection

	// maxReads is how many buffers the poller reads of a connection before others have their turn. It is a worker's 32
	// responses of 16 KiB and their heads.
	maxReads = maxUnwritten / readBuffer

	// readPause is how long the poller waits after a read that failed for want of memory, since it is called again at
	// once.
	readPause = time.Millisecond
)

// readable is called by the poller when a connection has something to read.
func (l *Loop) readable(socket *nbio.Conn) {
	l.registrations.Load()
	switch session := socket.Session().(type) {
	case *Conn:
		session.readAvailable(socket)
	case *pollerSignal:
		session.received()
	}
}

// readAvailable reads what the kernel has and queues it for the loop. The poller closes the connection after it where
// the peer has ended, so then it reads to the end.
func (c *Conn) readAvailable(socket *nbio.Conn) {
	c.reading.Lock()
	defer c.reading.Unlock()
	for reads := 0; !c.readingStopped; reads++ {
		if reads >= maxReads && !hasEnded(socket) {
			return
		}
		buffer := c.loop.pollerBuffer
		_, size, err := socket.ReadAndGetConn(&buffer)
		if size > 0 {
			c.queueData(buffer[:size], (*queue).push)
		}
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		case errors.Is(err, syscall.ENOMEM), errors.Is(err, syscall.ENOBUFS): // of this machine, and for a moment
			time.Sleep(readPause)
			return
		case err != nil:
			socket.CloseWithError(err)
			return
		case size < len(buffer):
			return
		}
	}
}

// queueData queues a copy of data for the loop. The caller holds c.reading.
func (c *Conn) queueData(data []byte, push func(*queue, event) bool) {
	c.queuedReads.Add(1)
	push(c.loop.queue, event{kind: dataReceived, conn: c, data: append([]byte(nil), data...), at: c.loop.clock()})
}

// hasEnded reports whether the peer of a stream has ended it. What it sent before may be yet to be read.
func hasEnded(socket *nbio.Conn) bool {
	ended := false
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) { // nbio's never fails
		state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		ready, err := unix.Poll(state, 0)
		ended = err == nil && ready > 0
	})
	return ended
}

// closeAtRest closes an accepted connection on which no response is due and nothing has arrived, and reports whether it
// did. It reads once more, under the lock that keeps the poller from reading: whatever has been read is handled, and
// what comes later finds the connection closed.
func (c *Conn) closeAtRest() bool {
	if c.closed || c.owesResponse() || !c.reading.TryLock() {
		return false
	}
	defer c.reading.Unlock()
	if c.queuedReads.Load() > 0 || c.readOnce() {
		return false
	}
	c.readingStopped = true
	c.Close()
	return true
}

// readOnce queues what the kernel holds, up to a buffer's size, and reports whether that was anything. The caller holds
// c.reading; it is the loop's goroutine, which must not wait for the queue.
func (c *Conn) readOnce() bool {
	if c.socket == nil {
		return false
	}
	buffer := c.loop.closingBuffer
	for {
		_, size, err := c.socket.ReadAndGetConn(&buffer)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if size > 0 {
			c.queueData(buffer[:size], (*queue).pushNow)
		}
		return size > 0
	}
}
