package eventloop

import (
	"errors"
	"net"
	"strings"
	"syscall"
	"testing"
)

func TestListenErrorNamesTheAddress(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	addr := taken.Addr().String()
	l := New(Config{MaxDescriptors: 256})
	l.Listen(addr, func(*Conn) AcceptedHandler { return nil })
	err = l.Start()
	var listenError *ListenError
	if !errors.As(err, &listenError) || listenError.Addr != addr || !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("listen on an address in use: %v", err)
	}
	if want := "listen: listen tcp " + addr + ": "; !strings.HasPrefix(err.Error(), want) {
		t.Errorf("message %q, want one that starts with %q", err, want)
	}
}

func TestSlowPeerErrorIsErrSlowPeer(t *testing.T) {
	err := error(&SlowPeerError{UnreadBytes: 3})
	if !errors.Is(err, ErrSlowPeer) || err.Error() != ErrSlowPeer.Error() {
		t.Errorf("%v is not %v", err, ErrSlowPeer)
	}
}

func TestDescriptorExhaustionIsReported(t *testing.T) {
	for err, want := range map[error]bool{
		syscall.EMFILE:       true,
		syscall.ENFILE:       true,
		syscall.ENOBUFS:      true,
		syscall.ECONNREFUSED: false,
		net.ErrClosed:        false,
	} {
		wrapped := &net.OpError{Op: "dial", Err: err}
		if IsDescriptorExhausted(wrapped) != want {
			t.Errorf("IsDescriptorExhausted for %v is not %v", err, want)
		}
	}
}
