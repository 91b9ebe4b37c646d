package eventloop

import (
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// reader is a dialled connection that counts what it is handed.
type reader struct {
	dialled
	got atomic.Int64
}

func (r *reader) Data(b []byte) { r.got.Add(int64(len(b))) }

// Guards responses that a worker wrote just before it closed: while the poller is held up they and the end come together,
// and nbio forgets what it has not read of a connection once it has heard of its end.
func TestAllThatCameBeforeAnEndIsRead(t *testing.T) {
	// The poller waits behind a byte.
	l := startWith(t, Config{MaxAccepted: 4, MaxDescriptors: 256, MaxQueuedBytes: 1, MaxUnreadBytes: 32 << 20},
		func(c *Conn) AcceptedHandler { return &echo{c: c, ends: make(chan error, 1)} })
	r := &reader{dialled: dialled{make(chan error, 1), make(chan error, 1)}}
	c, peer := dialPeer(t, l, "tcp", "127.0.0.1:0", r, r.opened)
	peer.(*net.TCPConn).SetWriteBuffer(1 << 20)
	held, release := make(chan bool), make(chan bool)
	l.Post(func() {
		c.socket.SetReadBuffer(1 << 20) // as large as the kernel lets a busy connection's grow
		close(held)
		<-release
	})
	<-held
	for range 3 { // the third byte finds the queue full, and the poller waits with it
		dial(t, l).Write([]byte("x"))
	}
	for queued := 0; queued < 2; {
		l.queue.mu.Lock()
		queued = l.queue.bytes
		l.queue.mu.Unlock()
	}
	const size = 10 * (16<<10 + 100) // ten responses
	if _, err := peer.Write(make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	peer.(*net.TCPConn).CloseWrite()
	close(release)
	<-r.closed
	if got := r.got.Load(); got != size {
		t.Errorf("%d of %d bytes were read before the end", got, size)
	}
	peer.Close()
}

// Guards the last response of a program that ends: what a turn has queued and not yet written counts as unwritten, or a
// slow client's response would be cut off with the process.
func TestWhatIsQueuedIsUnwritten(t *testing.T) {
	l := New(Config{})
	c := addClient(l, &echo{}, clientActivity{})
	c.writer.countUnread(3)
	c.Write([]byte("four"), []byte("!"))
	if n := l.UnwrittenBytes(); n != 8 {
		t.Errorf("%d bytes are unwritten, not 8", n)
	}
}

// Guards the workers and discovery against clients that hold every descriptor and say nothing: a dial that finds
// none has them make room, oldest first, and comes up. It runs in a process of its own, whose limit it lowers.
func TestIdleClientsAreClosedForADial(t *testing.T) {
	if os.Getenv("CRANKHOLD_FEW_FILES") == "" {
		cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$", "-test.v")
		cmd.Env = append(os.Environ(), "CRANKHOLD_FEW_FILES=1")
		if out, err := cmd.CombinedOutput(); err != nil || !strings.Contains(string(out), "a dial came up") {
			t.Fatalf("%v\n%s", err, out)
		}
		return
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan bool, 100)
	l := start(t, 1000, func(c *Conn) AcceptedHandler {
		accepted <- true
		return &echo{c: c, ends: make(chan error, 1)}
	})
	var idle []net.Conn
	for range 8 {
		idle = append(idle, dial(t, l))
		<-accepted
	}
	take := func() (files []*os.File) { // every descriptor that is left
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			t.Fatal(err)
		}
		next, err := os.Open(os.DevNull)
		if err != nil {
			t.Fatal(err)
		}
		limit.Cur = uint64(next.Fd()) + 8 // what is open stays, nbio's of an earlier process too
		files = append(files, next)
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			t.Fatal(err)
		}
		for {
			f, err := os.Open(os.DevNull)
			if err != nil {
				return files
			}
			files = append(files, f)
		}
	}
	files := take()
	if len(files) == 0 {
		t.Fatal("no descriptor was left to take")
	}
	for _, network := range []string{"tcp", "udp"} {
		d := &dialled{make(chan error, 1), make(chan error, 1)}
		l.Post(func() { l.Dial(network, ln.Addr().String(), time.Second, d) })
		if err := <-d.opened; err != nil {
			t.Fatalf("%s: %v", network, err)
		}
	}
	t.Log("a dial came up")
	gone := 0
	for _, c := range idle {
		c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); err == io.EOF {
			gone++
		}
	}
	if gone == 0 || gone == len(idle) {
		t.Errorf("%d of %d idle clients made room", gone, len(idle))
	}
	for _, f := range files {
		f.Close()
	}
}
