package eventloop

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
)

// Faults of this machine that connect(2) and socket(2) may show for a moment end no dial: it is tried again within its
// time. What says something of the peer ends it at once.
func TestDialOutlastsFaultsOfThisMachine(t *testing.T) {
	l := start(t, 10, func(c *Conn) AcceptedHandler { return &echo{c: c, times: 1, ends: make(chan error, 1)} })
	for _, fault := range []struct {
		errno    syscall.Errno
		outlasts bool
	}{
		{syscall.EADDRNOTAVAIL, true}, {syscall.ENETUNREACH, true}, {syscall.ENOBUFS, true}, {syscall.ENFILE, true}, {syscall.EMFILE, true},
		{syscall.ENOMEM, true}, {syscall.EAGAIN, true}, {syscall.EINTR, true}, {syscall.ECONNREFUSED, false}, {syscall.EHOSTUNREACH, false},
		{syscall.ETIMEDOUT, false}, {syscall.ECONNRESET, false},
	} {
		t.Run(fault.errno.Error(), func(t *testing.T) {
			attempts := 0
			d := &dialled{make(chan error, 1), make(chan error, 1)}
			l.Post(func() {
				l.dialer.connect = func(ctx context.Context, network, addr string, timeout time.Duration) (*nbio.Conn, error) {
					if attempts++; attempts <= 3 {
						return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", fault.errno)}
					}
					return connect(ctx, network, addr, timeout)
				}
				l.Dial("tcp", l.Addrs()[0], 2*time.Second, d)
			})
			if err := <-d.opened; (err == nil) != fault.outlasts {
				t.Errorf("the dial ended with %v after %d attempts", err, attempts)
			}
		})
	}
}

// A fault of this machine that lasts ends the dial when its time is over, as a fault of this machine.
func TestDialEndsWhereAFaultOfThisMachineLasts(t *testing.T) {
	l := start(t, 10, func(c *Conn) AcceptedHandler { return &echo{c: c, times: 1, ends: make(chan error, 1)} })
	d := &dialled{make(chan error, 1), make(chan error, 1)}
	l.Post(func() {
		l.dialer.connect = func(context.Context, string, string, time.Duration) (*nbio.Conn, error) {
			return nil, fmt.Errorf("dial: %w", syscall.EADDRNOTAVAIL)
		}
		l.Dial("tcp", l.Addrs()[0], 50*time.Millisecond, d)
	})
	if err := <-d.opened; !IsLocalFault(err) {
		t.Errorf("the dial ended with %v", err)
	}
}

// faultyListener fails while it is told to, and counts how often it is asked.
type faultyListener struct {
	net.Listener
	fault atomic.Pointer[syscall.Errno]
	asked atomic.Int32
}

func (l *faultyListener) Accept() (net.Conn, error) {
	l.asked.Add(1)
	if fault := l.fault.Load(); fault != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", *fault)}
	}
	return l.Listener.Accept()
}

// A listener whose accept fails for a moment neither ends nor spins, and accepts again.
func TestListenerOutlastsFaultsOfAccept(t *testing.T) {
	for _, fault := range []syscall.Errno{syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR,
		syscall.EPROTO, syscall.EPERM, syscall.ETIMEDOUT, syscall.ENETDOWN, syscall.EHOSTUNREACH} {
		t.Run(fault.Error(), func(t *testing.T) {
			t.Parallel()
			var faulty *faultyListener
			l := New(Config{MaxAccepted: 10, MaxDescriptors: 256, MaxQueuedBytes: 1 << 20, MaxUnreadBytes: 1 << 20})
			l.listeners.listen = func(network, addr string) (net.Listener, error) {
				listener, err := net.Listen(network, addr)
				faulty = &faultyListener{Listener: listener}
				faulty.fault.Store(&fault)
				return faulty, err
			}
			runLoop(t, l, func(c *Conn) AcceptedHandler { return &echo{c: c, times: 1, ends: make(chan error, 1)} })
			time.Sleep(200 * time.Millisecond)
			if asked := faulty.asked.Load(); asked < 1 || asked > 30 {
				t.Errorf("accept was called %d times in 0.2 s", asked)
			}
			faulty.fault.Store(nil)
			client := dial(t, l)
			if _, err := client.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			if _, err := client.Read(make([]byte, 1)); err != nil {
				t.Errorf("after the fault: %v", err)
			}
		})
	}
}
