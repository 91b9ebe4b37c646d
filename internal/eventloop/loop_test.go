package eventloop

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"
)

// echo writes back what it receives, as often as it is told to.
type echo struct {
	c     *Conn
	times int
	busy  bool
	whole int
	begun bool
	ends  chan error
}

func (e *echo) Data(b []byte) {
	for range e.times {
		e.c.Write(b, nil, []byte("|"))
	}
}
func (e *echo) Closed(err error)      { e.ends <- err }
func (e *echo) Busy() bool            { return e.busy }
func (e *echo) Messages() (int, bool) { return e.whole, e.begun }

// dialled reports how a dial and its connection ended.
type dialled struct{ opened, closed chan error }

func (d *dialled) Data([]byte)             {}
func (d *dialled) DialCompleted(err error) { d.opened <- err }
func (d *dialled) Closed(err error)        { d.closed <- err }

func start(t *testing.T, maxAccepted int, accept func(*Conn) AcceptedHandler) *Loop {
	t.Helper()
	return startWith(t, Config{MaxAccepted: maxAccepted, MaxDescriptors: 256, MaxQueuedBytes: 8 << 20, MaxUnreadBytes: 32 << 20}, accept)
}

func startWith(t *testing.T, cfg Config, accept func(*Conn) AcceptedHandler) *Loop {
	t.Helper()
	l := New(cfg)
	runLoop(t, l, accept)
	return l
}

// runLoop runs a loop that listens on a free port until the test ends.
func runLoop(t *testing.T, l *Loop, accept func(*Conn) AcceptedHandler) {
	t.Helper()
	l.Listen("127.0.0.1:0", accept)
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		l.Run(func(time.Duration) {}, func(now time.Duration) time.Duration { return now + time.Hour })
		l.Close()
		close(done)
	}()
	t.Cleanup(func() {
		l.Post(l.Stop)
		<-done
	})
}

// Guards against a listener on all addresses whose connections, each with an address of its own, are
// taken for nobody's.
func TestConnectionsFindTheirListener(t *testing.T) {
	which := ""
	accept := func(name string) func(*Conn) AcceptedHandler {
		return func(*Conn) AcceptedHandler { which = name; return nil }
	}
	addr := func(text string) net.Addr { return net.TCPAddrFromAddrPort(netip.MustParseAddrPort(text)) }
	b := bindings{}
	b.add(addr("127.0.0.1:80"), accept("one"))
	b.add(addr("0.0.0.0:90"), accept("all"))
	b.add(addr("127.0.0.3:90"), accept("own"))
	for to, want := range map[string]string{"127.0.0.1:80": "one", "127.0.0.2:90": "all", "127.0.0.3:90": "own", "[::1]:90": "all"} {
		if b.find(addr(to))(nil); which != want {
			t.Errorf("%s went to %s", to, which)
		}
	}
	if b.find(addr("127.0.0.2:80")) != nil {
		t.Error("another address on a bound port has a listener")
	}
}

// addClient adds an established connection without a socket to the accepted clients of a loop that does not run.
func addClient(l *Loop, h AcceptedHandler, activity clientActivity) *Conn {
	c := newConn(l, h)
	c.state.established = true
	c.activity = activity
	l.clients.conns[c] = struct{}{}
	return c
}

func dial(t *testing.T, l *Loop) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addrs()[0])
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(20 * time.Second))
	t.Cleanup(func() { c.Close() })
	return c
}

// dialPeer opens a connection of a loop to a listener of the test's, and returns both ends.
func dialPeer(t *testing.T, l *Loop, network, addr string, h DialHandler, opened <-chan error) (c *Conn, peer net.Conn) {
	t.Helper()
	ln, err := net.Listen(network, addr)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	made := make(chan *Conn, 1)
	l.Post(func() { made <- l.Dial(network, ln.Addr().String(), time.Second, h) })
	peer, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	if err := <-opened; err != nil {
		t.Fatal(err)
	}
	return <-made, peer
}

// Guards against nbio's Writev, which drops the buffers behind a short write: a reader that starts
// late, so that the socket fills, still gets every byte in order.
func TestNothingIsLostInShortWrites(t *testing.T) {
	e := &echo{times: 3000, ends: make(chan error, 1)}
	wrote := make(chan struct{}, 1)
	l := start(t, 10, func(c *Conn) AcceptedHandler {
		// The kernel's buffer is made small, so that little is needed to fill it.
		c.socket.SetWriteBuffer(4 << 10)
		e.c = c
		return e
	})
	c := dial(t, l)
	c.(*net.TCPConn).SetReadBuffer(64 << 10)
	text := bytes.Repeat([]byte("0123456789"), 20)
	c.Write(text)
	for behind := 0; behind == 0; { // until the loop has written, and more than the kernel holds
		l.Post(func() { behind = l.UnwrittenBytes(); wrote <- struct{}{} })
		<-wrote
	}
	want := bytes.Repeat(append(bytes.Clone(text), '|'), e.times)
	got := make([]byte, len(want))
	if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, want) {
		t.Errorf("bytes differ, %v", err)
	}
	for behind := 1; behind != 0; { // the poller may still have to count its last write
		l.Post(func() { behind = l.UnwrittenBytes(); wrote <- struct{}{} })
		<-wrote
	}
}

func TestPeerThatDoesNotReadIsClosed(t *testing.T) {
	e := &echo{times: 40000, ends: make(chan error, 1)}
	l := start(t, 10, func(c *Conn) AcceptedHandler {
		c.socket.SetWriteBuffer(4 << 10)
		e.c = c
		return e
	})
	c := dial(t, l)
	c.(*net.TCPConn).SetReadBuffer(4 << 10)
	c.Write(bytes.Repeat([]byte("x"), 200)) // 8 MB of responses
	if err := <-e.ends; err == nil {
		t.Error("closed without a reason")
	}
}

func TestAcceptedConnectionsAreLimited(t *testing.T) {
	accepted := make(chan *echo, 10)
	busy := true
	l := start(t, 1, func(c *Conn) AcceptedHandler {
		e := &echo{c: c, times: 1, busy: busy, ends: make(chan error, 1)}
		accepted <- e
		return e
	})
	first := dial(t, l)
	e := <-accepted
	if _, err := dial(t, l).Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a second connection beside a busy one: %v", err)
	}
	l.Post(func() { e.busy = false })
	dial(t, l)
	<-accepted // the idle one made room
	if _, err := first.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection: %v", err)
	}
}

func TestDialsEndOnceAndTruly(t *testing.T) {
	l := start(t, 10, func(c *Conn) AcceptedHandler { return &echo{c: c, times: 1, ends: make(chan error, 1)} })
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := free.Addr().String()
	free.Close()
	refused := &dialled{make(chan error, 2), make(chan error, 2)}
	l.Post(func() { l.Dial("tcp", addr, time.Second, refused) })
	if err := <-refused.opened; !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a refused dial: %v", err)
	}
	up := &dialled{make(chan error, 2), make(chan error, 2)}
	l.Post(func() { l.Dial("tcp", l.Addrs()[0], time.Second, up) })
	if err := <-up.opened; err != nil {
		t.Errorf("a dial: %v", err)
	}
}

// Guards the time that a client has for its message: whole messages count, not the bytes that trickle in,
// and one that sent a request may hold its connection for longer.
func TestClientsHaveLimitedTimeForAMessage(t *testing.T) {
	const step = 100 * time.Millisecond
	for name, c := range map[string]struct {
		feed func(e *echo, at time.Duration) bool // reports whether bytes arrive
		gone time.Duration
	}{
		"silent":            {func(*echo, time.Duration) bool { return false }, messageTimeout},
		"trickles":          {func(e *echo, _ time.Duration) bool { e.begun = true; return true }, messageTimeout},
		"sent one and held": {func(e *echo, at time.Duration) bool { e.whole = 1; return at == 0 }, idleTimeout},
		"half a second one": {func(e *echo, at time.Duration) bool {
			e.whole, e.begun = 1, at >= 5*time.Second
			return at == 0 || e.begun
		}, 5*time.Second + messageTimeout},
		"goes on sending": {func(e *echo, _ time.Duration) bool { e.whole++; return true }, time.Minute},
		"response due":    {func(e *echo, at time.Duration) bool { e.busy = at < 20*time.Second; return false }, 20 * time.Second},
	} {
		l := New(Config{})
		e := &echo{}
		conn := addClient(l, e, clientActivity{activeAt: l.now})
		start, closed := l.now, time.Minute
		for at := time.Duration(0); at < time.Minute; at += step {
			if l.now = start + at; c.feed(e, at) {
				conn.recordMessages()
			}
			if l.clients.sweep(l.now); conn.state.closed {
				closed = at
				break
			}
		}
		if closed < c.gone || closed > c.gone+2*step {
			t.Errorf("%s: closed after %v, want %v", name, closed, c.gone)
		}
	}
}

// Guards clients that sent requests against connections that are opened by hundreds and say nothing: those make
// room for each other, the oldest first. One that has only just come may have its request on the way, and
// one whose response is queued or not yet read would lose it.
func TestSilentConnectionsAreClosedFirst(t *testing.T) {
	l := New(Config{})
	add := func(whole int, busy bool, heard time.Duration) *Conn {
		return addClient(l, &echo{busy: busy}, clientActivity{messages: whole, activeAt: heard})
	}
	now := l.now
	order := []*Conn{add(0, false, now-2*requestGracePeriod), add(0, false, now-requestGracePeriod-1), add(1, false, now-1000*requestGracePeriod),
		add(3, false, now-2), add(0, false, now-requestGracePeriod), add(0, false, now)}
	busy := add(0, true, 0)
	queued, unread := add(1, false, 0), add(1, false, 0)
	queued.Write([]byte("answer"))
	unread.writer.countUnread(1)
	for i, c := range order {
		if !l.closeIdleClient() || !c.state.closed {
			t.Fatalf("connection %d was not the one to make room", i)
		}
	}
	if l.closeIdleClient() || busy.state.closed || queued.state.closed || unread.state.closed {
		t.Error("a connection that is owed an answer made room")
	}
	if queued.activity.activeAt != now {
		t.Error("a connection counts as idle though it was just answered")
	}
}

// Guards the descriptors: while the loop is held up no more than a few connections are accepted.
func TestAcceptingWaitsForTheLoop(t *testing.T) {
	l := New(Config{})
	pushed := make(chan int, 100)
	go func() {
		for i := range 3 * maxUnseenConnections {
			l.queue.push(event{conn: &Conn{loop: l}, kind: connectionAccepted})
			pushed <- i
		}
		close(pushed)
	}()
	for range maxUnseenConnections {
		<-pushed
	}
	turns, most := 0, 0
	for open := true; open; turns++ { // each turn takes what is queued, and lets as many in
		batch, _ := l.queue.take(nil)
		most = max(most, len(batch))
		_, open = <-pushed
	}
	if most > maxUnseenConnections || turns < 2 {
		t.Errorf("%d connections waited at once, %d turns", most, turns)
	}
}

// Guards the proof that a request never left: of what was written to a peer that takes little, UnsentBytes is what the kernel
// did not take; of a short message that was handed on, nothing.
func TestUnsentIsWhatNeverLeft(t *testing.T) {
	for _, size := range []int{100, 6 << 20} {
		l := start(t, 10, func(c *Conn) AcceptedHandler { return &echo{c: c, ends: make(chan error, 1)} })
		d := &dialled{make(chan error, 1), make(chan error, 1)}
		c, peer := dialPeer(t, l, "tcp", "127.0.0.1:0", d, d.opened)
		wrote := make(chan bool)
		l.Post(func() {
			for rest := size; rest > 0; rest -= min(rest, 64<<10) {
				c.Write(make([]byte, min(rest, 64<<10)))
			}
			l.Post(func() { close(wrote) }) // behind the turn that hands it on
		})
		<-wrote
		got := 0
		if size < 1000 {
			read, err := io.ReadFull(peer, make([]byte, size))
			if err != nil {
				t.Fatal(err)
			}
			got = read
		}
		peer.(*net.TCPConn).SetLinger(0)
		peer.Close()
		<-d.closed
		unsent := make(chan int)
		l.Post(func() { unsent <- c.UnsentBytes() })
		switch n := <-unsent; {
		case size < 1000 && n != 0:
			t.Errorf("%d bytes of %d never left, though %d arrived", n, size, got)
		case size > 1000 && (n <= 0 || n > size):
			t.Errorf("%d bytes of %d never left a connection whose peer took none", n, size)
		}
	}
}

// nameless is a connected socket of which the system does not tell the own address, as getsockname did for
// datagram sockets on the operators' full fleet, where every router died of it before it served.
type nameless struct{ net.Conn }

func (nameless) LocalAddr() net.Addr { return nil }

// Guards the start: sockets for datagrams are bound, so that their address is known, and one that is unknown
// all the same is an error, not a panic that ends the program.
func TestDatagramSocketsHaveAnAddress(t *testing.T) {
	for _, network := range []string{"udp", "udp4", "udp6"} {
		if a, ok := netDialer(network, time.Second).LocalAddr.(*net.UDPAddr); !ok || a.Port != 0 {
			t.Errorf("%s is not bound to an address of the system's choice", network)
		}
	}
	if netDialer("tcp4", time.Second).LocalAddr != nil {
		t.Error("a stream is bound without need")
	}
	peer, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	std, err := netDialer("udp", time.Second).Dial("udp", peer.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer std.Close()
	if _, err := adopt(nameless{std}); !errors.Is(err, errNoLocalAddress) {
		t.Errorf("a socket without an address: %v", err)
	}
	nc, err := adopt(std)
	if err != nil {
		t.Fatal(err)
	}
	nc.Close()
}
