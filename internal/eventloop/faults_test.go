package eventloop

import (
	"context"
	"fmt"
	"net"
	"os"
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
				l.connect = func(ctx context.Context, network, addr string, timeout time.Duration) (*nbio.Conn, error) {
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
		l.connect = func(context.Context, string, string, time.Duration) (*nbio.Conn, error) {
			return nil, fmt.Errorf("dial: %w", syscall.EADDRNOTAVAIL)
		}
		l.Dial("tcp", l.Addrs()[0], 50*time.Millisecond, d)
	})
	if err := <-d.opened; !IsLocalFault(err) {
		t.Errorf("the dial ended with %v", err)
	}
}
