package eventloop

import (
	"log/slog"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Guards a listener on all addresses: its connections have different local addresses, and find the listener by its
// port.
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
			t.Errorf("the connection to %s went to listener %s", to, which)
		}
	}
	if b.find(addr("127.0.0.2:80")) != nil {
		t.Error("another address on a bound port has a listener")
	}
}

// faultyListener fails with errno while that is set, and counts the calls of Accept.
type faultyListener struct {
	net.Listener
	errno atomic.Pointer[syscall.Errno]
	calls atomic.Int32
}

func (l *faultyListener) Accept() (net.Conn, error) {
	l.calls.Add(1)
	if errno := l.errno.Load(); errno != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", *errno)}
	}
	return l.Listener.Accept()
}

// A listener whose accept fails temporarily does not stop or spin, and then accepts again.
func TestListenerRecoversFromAcceptErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR,
		syscall.EPROTO, syscall.EPERM, syscall.ETIMEDOUT, syscall.ENETDOWN, syscall.EHOSTUNREACH} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			var faulty *faultyListener
			l := New(Config{MaxAccepted: 10, MaxDescriptors: 256, MaxQueuedBytes: 1 << 20, MaxUnreadBytes: 1 << 20, Logger: slog.New(slog.DiscardHandler)})
			l.listeners.listen = func(network, addr string) (net.Listener, error) {
				listener, err := net.Listen(network, addr)
				faulty = &faultyListener{Listener: listener}
				faulty.errno.Store(&errno)
				return faulty, err
			}
			runLoop(t, l, acceptEcho)
			time.Sleep(200 * time.Millisecond)
			if calls := faulty.calls.Load(); calls < 1 || calls > 30 {
				t.Errorf("accept was called %d times in 0.2 s", calls)
			}
			faulty.errno.Store(nil)
			client := dial(t, l)
			if _, err := client.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			if _, err := client.Read(make([]byte, 1)); err != nil {
				t.Errorf("read after accept has recovered: %v", err)
			}
		})
	}
}
