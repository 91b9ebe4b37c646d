package eventloop

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// Guards the time limits for a client's messages: only complete messages extend them, not single bytes. A client that
// has sent a request may stay connected for longer.
func TestClientsHaveLimitedTimeForAMessage(t *testing.T) {
	const step = 100 * time.Millisecond
	for name, c := range map[string]struct {
		feed        func(e *echoHandler, at time.Duration) bool // reports whether bytes arrive
		closedAfter time.Duration
	}{
		"silent":           {func(*echoHandler, time.Duration) bool { return false }, messageTimeout},
		"trickles":         {func(e *echoHandler, _ time.Duration) bool { e.partial = true; return true }, messageTimeout},
		"sent one message": {func(e *echoHandler, at time.Duration) bool { e.complete = 1; return at == 0 }, idleTimeout},
		"part of a second message": {func(e *echoHandler, at time.Duration) bool {
			e.complete, e.partial = 1, at >= 5*time.Second
			return at == 0 || e.partial
		}, 5*time.Second + messageTimeout},
		"keeps sending": {func(e *echoHandler, _ time.Duration) bool { e.complete++; return true }, time.Minute},
		"response due":  {func(e *echoHandler, at time.Duration) bool { e.busy = at < 20*time.Second; return false }, 20 * time.Second},
	} {
		l := New(Config{})
		e := &echoHandler{}
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
		if closed < c.closedAfter || closed > c.closedAfter+2*step {
			t.Errorf("%s: closed after %v, want %v", name, closed, c.closedAfter)
		}
	}
}

// Guards clients that have sent requests against a flood of silent connections. When a connection slot is needed, the
// connection that was silent for longest is closed first. A connection that has just been opened may have its request
// on the way. One whose response is queued or not yet read is not closed, because the response would be lost.
func TestSilentConnectionsAreClosedFirst(t *testing.T) {
	l := New(Config{})
	add := func(complete int, busy bool, lastActive time.Duration) *Conn {
		return addClient(l, &echoHandler{busy: busy}, clientActivity{messages: complete, activeAt: lastActive})
	}
	now := l.now
	inClosingOrder := []*Conn{add(0, false, now-2*requestGracePeriod), add(0, false, now-requestGracePeriod-1), add(1, false, now-1000*requestGracePeriod),
		add(3, false, now-2), add(0, false, now-requestGracePeriod), add(0, false, now)}
	busy := add(0, true, 0)
	queued, unread := add(1, false, 0), add(1, false, 0)
	queued.Write([]byte("response"))
	unread.writer.countUnread(1)
	for i, c := range inClosingOrder {
		if !l.closeIdleClient() || !c.state.closed {
			t.Fatalf("connection %d was not the next to be closed", i)
		}
	}
	if l.closeIdleClient() || busy.state.closed || queued.state.closed || unread.state.closed {
		t.Error("a connection on which a response is due was closed")
	}
	if queued.activity.activeAt != now {
		t.Error("writing a response did not restart the idle time")
	}
}

// The poller has read a request when its connection is chosen to be closed in the same turn, to free its slot. The
// request is handled first.
func TestReadRequestIsHandledBeforeConnectionIsClosedForCapacity(t *testing.T) {
	accepted := make(chan *echoHandler, 10)
	l := start(t, 1, acceptInto(accepted, false))
	first := dial(t, l)
	<-accepted
	release := blockLoop(l)
	dial(t, l) // there is no free slot, and the loop considers the first connection idle
	if _, err := first.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond) // long enough for the poller to read it
	release()
	response := make([]byte, len("request|"))
	if n, err := first.Read(response); err != nil || string(response[:n]) != "request|" {
		t.Errorf("response %q, %v", response[:n], err)
	}
}

// A request is still unread in the kernel's buffer when its connection is chosen to be closed, to free its slot. The
// request is read and handled first.
func TestUnreadRequestIsHandledBeforeConnectionIsClosedForCapacity(t *testing.T) {
	accepted := make(chan *echoHandler, 10)
	l := startWith(t, oneByteQueue(2), acceptInto(accepted, false))
	idle := dial(t, l)
	<-accepted
	peers := dialPeers(t, l)
	release := blockLoop(l)
	fillQueue(t, l, peers) // the poller reads nothing more until the loop resumes
	if _, err := idle.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	l.Post(func() { l.closeIdleClient() })
	release()
	response := make([]byte, len("request|"))
	if n, err := idle.Read(response); err != nil || string(response[:n]) != "request|" {
		t.Errorf("response %q, %v", response[:n], err)
	}
}

// Rejected connections are logged by the loop's logger, with their number and at most once per interval.
func TestRejectionsAreLoggedTogether(t *testing.T) {
	var lines bytes.Buffer
	l := New(Config{Logger: slog.New(slog.NewTextHandler(&lines, nil))})
	now := l.now
	for _, count := range []int{2, 3, 0} {
		l.clients.rejections.count += count
		l.clients.sweep(now)
		now += rejectionLogInterval
	}
	l.clients.sweep(now)
	want := []string{"msg=client_connections_rejected count=2", "msg=client_connections_rejected count=3"}
	got := lines.String()
	if strings.Count(got, "\n") != len(want) || !strings.Contains(got, want[0]) || !strings.Contains(got, want[1]) {
		t.Errorf("logged %q, want %q", got, want)
	}
}
