package eventloop

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// recorder counts what a connection receives.
type recorder struct {
	*echoHandler
	received atomic.Int64
	onData   func()
}

func (r *recorder) Data(b []byte) {
	r.received.Add(int64(len(b)))
	if r.onData != nil {
		r.onData()
	}
}

// acceptRecorders sends a recorder for each accepted connection to accepted.
func acceptRecorders(accepted chan<- *recorder) func(*Conn) AcceptedHandler {
	return func(c *Conn) AcceptedHandler {
		r := &recorder{echoHandler: newEchoHandler(c, 0)}
		accepted <- r
		return r
	}
}

// startFlood has a client send without a pause for as long as the test runs. It returns when the poller has read as much
// as may wait for the loop, which must be blocked.
func startFlood(l *Loop, client net.Conn) {
	go func() {
		for {
			if _, err := client.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	}()
	awaitQueuedBytes(l, readBufferSize)
}

// Guards against a client at full speed that delays the others: with any amount of its data waiting, another client's
// message is handled within one rotation.
func TestMessageIsHandledWithinOneRotationBesideAFlood(t *testing.T) {
	accepted := make(chan *recorder, 2)
	l := start(t, 2, acceptRecorders(accepted))
	usualClient := dial(t, l)
	usual := <-accepted
	floodClient := dial(t, l)
	flood := <-accepted
	ahead := make(chan int64, 1)
	release := blockLoop(l, func() { usual.onData = func() { ahead <- flood.received.Load() } })
	startFlood(l, floodClient)
	time.Sleep(20 * time.Millisecond) // the flood sends as much as there is room for
	if _, err := usualClient.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond) // the poller reads it
	release()
	if bytes := <-ahead; bytes > turnBytes {
		t.Errorf("%d bytes of the flood were handled first, want at most %d", bytes, turnBytes)
	}
}

// Guards against workers' responses that wait behind what clients send.
func TestResponsesOfWorkersAreHandledBeforeDataOfClients(t *testing.T) {
	accepted := make(chan *recorder, 1)
	l := start(t, 1, acceptRecorders(accepted))
	worker := newDialRecorder()
	handler := &workerRecorder{dialRecorder: worker, data: make(chan struct{}, 1)}
	_, peer := dialPeer(t, l, "tcp", "127.0.0.1:0", handler, worker.opened)
	floodClient := dial(t, l)
	flood := <-accepted
	ahead := make(chan int64, 1)
	release := blockLoop(l, func() { handler.onData = func() { ahead <- flood.received.Load() } })
	startFlood(l, floodClient)
	if _, err := peer.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	awaitQueuedBytes(l, readBufferSize+1)
	release()
	if bytes := <-ahead; bytes != 0 {
		t.Errorf("%d bytes of a client were handled before the response", bytes)
	}
}

// workerRecorder is the handler of a dialed connection that calls onData once.
type workerRecorder struct {
	*dialRecorder
	data   chan struct{}
	onData func()
}

func (w *workerRecorder) Data([]byte) {
	select {
	case w.data <- struct{}{}:
		w.onData()
	default:
	}
}

// Guards against requests that are sent on after their client has gone: the end of a connection stands before what its
// client left unread.
func TestDataOfAClientThatHasGoneIsNotHandled(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"close":      func(c *net.TCPConn) { c.Close() },
		"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		"half close": func(c *net.TCPConn) { c.CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			accepted := make(chan *recorder, 1)
			l := start(t, 1, acceptRecorders(accepted))
			client := dial(t, l)
			gone := <-accepted
			release := blockLoop(l)
			if _, err := client.Write(make([]byte, 2*readBufferSize)); err != nil {
				t.Fatal(err)
			}
			awaitQueuedBytes(l, readBufferSize)
			end(client.(*net.TCPConn))
			awaitEvent(l, connectionClosed)
			release()
			<-gone.closed
			if bytes := gone.received.Load(); bytes != 0 {
				t.Errorf("%d bytes were handled", bytes)
			}
		})
	}
}

// awaitEvent waits until an event of a kind is queued for the loop, which must be blocked.
func awaitEvent(l *Loop, kind eventKind) {
	for found := false; !found; time.Sleep(time.Millisecond) {
		l.queue.mu.Lock()
		for _, e := range l.queue.events {
			found = found || e.kind == kind
		}
		l.queue.mu.Unlock()
	}
}

// Guards against data of workers that the poller leaves unread, because it reads others in between.
func TestDataBeyondOneCallOfThePollerIsRead(t *testing.T) {
	l := start(t, 1, acceptSilent)
	r := &countingHandler{dialRecorder: newDialRecorder()}
	_, peer := dialPeer(t, l, "tcp", "127.0.0.1:0", r, r.opened)
	release := blockLoop(l)
	const size = 4 * maxUnreadPerPeer
	written := make(chan error, 1)
	go func() {
		_, err := peer.Write(make([]byte, size))
		written <- err
	}()
	time.Sleep(10 * time.Millisecond)
	release()
	if err := <-written; err != nil {
		t.Fatal(err)
	}
	for r.received.Load() < size {
		time.Sleep(time.Millisecond) // the test's time limit ends a wait for data that is never read
	}
}

// Guards against datagrams that are left unread because each read returns one of them.
func TestDatagramsThatArriveTogetherAreAllRead(t *testing.T) {
	l := start(t, 1, acceptSilent)
	server, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	r := &countingHandler{dialRecorder: newDialRecorder()}
	made := make(chan *Conn, 1)
	l.Post(func() { made <- l.Dial("udp", server.LocalAddr().String(), time.Second, r) })
	c := <-made
	if err := <-r.opened; err != nil {
		t.Fatal(err)
	}
	l.Post(func() { c.Write([]byte("hello")) })
	_, addr, err := server.ReadFrom(make([]byte, 10))
	if err != nil {
		t.Fatal(err)
	}
	c.reader.mu.Lock() // keeps the poller from reading
	for range 10 {
		server.WriteTo([]byte("x"), addr)
	}
	c.reader.mu.Unlock()
	for r.received.Load() < 10 {
		time.Sleep(time.Millisecond) // the test's time limit ends a wait for datagrams that are never read
	}
}

// Guards against memory that grows with what clients send: no inbox and no sum of inboxes is ever above its bound, and
// nothing of a connection that is still open is lost.
func TestInboxesStayWithinTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 3 * maxInboxBytes
		q := newQueue(func() time.Duration { return 0 }, total)
		var conns []*Conn
		for range 6 {
			conns = append(conns, &Conn{isAccepted: true})
		}
		pushed, taken := map[*Conn]int{}, map[*Conn]int{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			c := rapid.SampledFrom(conns).Draw(t, "connection")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2: // the poller reads
				if q.mayRead(c) {
					size := rapid.IntRange(1, readBufferSize).Draw(t, "size")
					q.pushClientData(c, make([]byte, size))
					pushed[c] += size
				} else if !c.reader.inbox.paused.Load() || !c.reader.inbox.scheduled {
					t.Fatal("a connection is left unread, and the loop does not know")
				}
			case 3: // the loop handles a slot
				read, more := q.takeClientData(c, slotBytes)
				taken[c] += len(read.data)
				if more && len(read.data) == 0 && !q.resume(c) {
					t.Fatal("a connection with an empty inbox stays in the rotation")
				}
			case 4:
				q.take(batch{})
			case 5: // the connection ends
				q.discardClientData(c)
				taken[c] = pushed[c]
			}
			sum := 0
			for _, c := range conns {
				in := &c.reader.inbox
				size := int(in.bytes.Load())
				sum += size
				if size >= maxInboxBytes+readBufferSize || size != pushed[c]-taken[c] {
					t.Fatalf("an inbox has %d bytes, want %d", size, pushed[c]-taken[c])
				}
				if !in.isEmpty() && !in.scheduled {
					t.Fatal("the loop does not know of data")
				}
			}
			if counted := int(q.clients.bytes.Load()); sum != counted || sum > total+readBufferSize {
				t.Fatalf("%d bytes are waiting, %d are counted, want at most %d", sum, counted, total+readBufferSize)
			}
		}
	})
}

// Guards against many clients' large messages that are all incomplete at the same time, because each is handled in
// slots: a slot goes on to the end of a large message.
func TestSlotEndsWithALargeMessage(t *testing.T) {
	const message = 4 * slotBytes
	l := New(Config{MaxQueuedBytes: 1 << 20})
	var conns []*Conn
	for range 3 {
		h := &messageHandler{size: message}
		c := addClient(l, h, clientActivity{})
		c.isAccepted = true
		l.queue.pushClientData(c, make([]byte, message))
		conns = append(conns, c)
	}
	taken, _ := l.queue.take(batch{})
	ready := taken.ready
	for range conns { // in each turn at least one message is handled
		l.rotation.run(ready)
		ready = nil
		for i, c := range conns {
			if h := c.handler.(*messageHandler); h.buffered != 0 {
				t.Errorf("connection %d has %d bytes of an incomplete message", i, h.buffered)
			}
		}
	}
	for i, c := range conns {
		if h := c.handler.(*messageHandler); h.complete != 1 {
			t.Errorf("connection %d has %d complete messages, want 1", i, h.complete)
		}
	}
}

// messageHandler receives messages of one size.
type messageHandler struct {
	echoHandler
	size int
}

// Data counts messages.
func (m *messageHandler) Data(b []byte) {
	m.buffered += len(b)
	m.complete += m.buffered / m.size
	m.buffered %= m.size
	m.partial = m.buffered > 0
}
