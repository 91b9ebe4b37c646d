package fake

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// FloodKind is what a Flood sends.
type FloodKind string

// The kinds of floods.
const (
	FloodChecks         FloodKind = "checks"          // health checks
	FloodUnknownMethods FloodKind = "unknown-methods" // calls of a method that there is not
	FloodNewFunctions   FloodKind = "new-functions"   // requests, each for a function that no other names
)

const (
	floodBatchBytes   = 64 << 10 // written at once
	floodRetryDelay   = 50 * time.Millisecond
	floodWriteTimeout = 5 * time.Second
)

// Flood is a client that sends messages without a pause on one connection and reads what it gets. It connects anew when
// the connection ends.
type Flood struct {
	addr    string
	kind    FloodKind
	sent    atomic.Int64
	stopped chan struct{}
	running sync.WaitGroup
}

// StartFlood starts a flood.
func StartFlood(addr string, kind FloodKind) *Flood {
	f := &Flood{addr: addr, kind: kind, stopped: make(chan struct{})}
	f.running.Go(f.run)
	return f
}

// Stop stops the flood, and returns how many messages it has sent. It blocks until its connection is closed.
func (f *Flood) Stop() (sent int64) {
	close(f.stopped)
	f.running.Wait()
	return f.sent.Load()
}

// run opens one connection after another until the flood is stopped.
func (f *Flood) run() {
	for !f.isStopped() {
		conn, err := net.DialTimeout("tcp", f.addr, time.Second)
		if err != nil {
			time.Sleep(floodRetryDelay)
			continue
		}
		f.running.Go(func() { io.Copy(io.Discard, conn) })
		f.fill(conn)
		conn.Close()
	}
}

// fill writes messages until the flood is stopped or the connection ends.
func (f *Flood) fill(conn net.Conn) {
	for seq := uint32(0); !f.isStopped(); {
		var batch []byte
		first := seq
		for len(batch) < floodBatchBytes {
			seq++
			batch = append(batch, f.message(seq)...)
		}
		conn.SetWriteDeadline(time.Now().Add(floodWriteTimeout))
		if _, err := conn.Write(batch); err != nil {
			return
		}
		f.sent.Add(int64(seq - first))
	}
}

// message returns the next message of the flood.
func (f *Flood) message(seq uint32) []byte {
	switch f.kind {
	case FloodNewFunctions:
		return encodeMessage(messageCall, "execute", seq, executeArguments(&Request{
			Class:       "dim-level",
			ID:          fmt.Sprintf("%016x", rand.Uint64()),
			FunctionKey: fmt.Sprintf("%016x", rand.Uint64()),
			Timeout:     time.Second,
			Properties:  "memory_mb:512;lanes:2;load_ms:640",
		}))
	case FloodUnknownMethods:
		return encodeMessage(messageCall, "no-method", seq, noArguments())
	default:
		return encodeMessage(messageCall, "check", seq, noArguments())
	}
}

// isStopped reports whether Stop was called.
func (f *Flood) isStopped() bool {
	select {
	case <-f.stopped:
		return true
	default:
		return false
	}
}
