package eventloop

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
)

func TestDialReportsItsResult(t *testing.T) {
	l := start(t, 10, acceptEcho)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := free.Addr().String()
	free.Close()
	refused := newDialRecorder()
	l.Post(func() { l.Dial("tcp", addr, time.Second, refused) })
	if err := <-refused.opened; !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial of a closed port: %v, want ECONNREFUSED", err)
	}
	connected := newDialRecorder()
	l.Post(func() { l.Dial("tcp", l.Addrs()[0], time.Second, connected) })
	if err := <-connected.opened; err != nil {
		t.Errorf("dial of an open port: %v", err)
	}
}

// Temporary errors of connect(2) and socket(2) that this machine causes do not fail a dial: it is retried until its
// timeout. Errors that are caused by the peer fail it at once.
func TestDialRetriesLocalErrors(t *testing.T) {
	l := start(t, 10, acceptEcho)
	for _, test := range []struct {
		errno   syscall.Errno
		retried bool
	}{
		{syscall.EADDRNOTAVAIL, true}, {syscall.ENETUNREACH, true}, {syscall.ENOBUFS, true}, {syscall.ENFILE, true}, {syscall.EMFILE, true},
		{syscall.ENOMEM, true}, {syscall.EAGAIN, true}, {syscall.EINTR, true}, {syscall.ECONNREFUSED, false}, {syscall.EHOSTUNREACH, false},
		{syscall.ETIMEDOUT, false}, {syscall.ECONNRESET, false},
	} {
		t.Run(test.errno.Error(), func(t *testing.T) {
			attempts := 0
			d := newDialRecorder()
			l.Post(func() {
				l.dialer.connect = func(ctx context.Context, network, addr string, timeout time.Duration) (*nbio.Conn, error) {
					if attempts++; attempts <= 3 {
						return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", test.errno)}
					}
					return connect(ctx, network, addr, timeout)
				}
				l.Dial("tcp", l.Addrs()[0], 2*time.Second, d)
			})
			if err := <-d.opened; (err == nil) != test.retried {
				t.Errorf("dial returned %v after %d attempts", err, attempts)
			}
		})
	}
}

// If a local error persists, the dial fails with it after its timeout.
func TestDialTimesOutWhileLocalErrorPersists(t *testing.T) {
	l := start(t, 10, acceptEcho)
	d := newDialRecorder()
	l.Post(func() {
		l.dialer.connect = func(context.Context, string, string, time.Duration) (*nbio.Conn, error) {
			return nil, fmt.Errorf("dial: %w", syscall.EADDRNOTAVAIL)
		}
		l.Dial("tcp", l.Addrs()[0], 50*time.Millisecond, d)
	})
	if err := <-d.opened; !IsLocalError(err) {
		t.Errorf("dial returned %v, want a local error", err)
	}
}

// connWithoutAddress is a connected socket whose local address the system does not report. In the operators' full
// fleet, getsockname reported none for datagram sockets, and every router panicked before it served.
type connWithoutAddress struct{ net.Conn }

func (connWithoutAddress) LocalAddr() net.Addr { return nil }

// Guards the start of the router: datagram sockets are bound, so that their address is known. If it is unknown all the
// same, the result is an error and not a panic.
func TestDatagramSocketsHaveAnAddress(t *testing.T) {
	for _, network := range []string{"udp", "udp4", "udp6"} {
		if a, ok := netDialer(network, time.Second).LocalAddr.(*net.UDPAddr); !ok || a.Port != 0 {
			t.Errorf("%s is not bound to an address that the system chooses", network)
		}
	}
	if netDialer("tcp4", time.Second).LocalAddr != nil {
		t.Error("a stream socket is bound to a local address")
	}
	peer, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	netConn, err := netDialer("udp", time.Second).Dial("udp", peer.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer netConn.Close()
	if _, err := convertConn(connWithoutAddress{netConn}); !errors.Is(err, errNoLocalAddress) {
		t.Errorf("convert a socket without an address: %v", err)
	}
	nc, err := convertConn(netConn)
	if err != nil {
		t.Fatal(err)
	}
	nc.Close()
}

// exhaustDescriptors lowers the descriptor limit of this process and opens a file for every descriptor that is left.
func exhaustDescriptors(t *testing.T) (files []*os.File) {
	t.Helper()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	next, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	limit.Cur = uint64(next.Fd()) + 8 // open descriptors stay open, including those that nbio opened before
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

// Guards connections to workers and discovery against silent clients that use up all descriptors: a dial that finds
// none has the client that was silent for longest closed, and then succeeds. The test lowers the descriptor limit, so
// it runs in a process of its own.
func TestIdleClientsAreClosedForADial(t *testing.T) {
	if os.Getenv("CRANKHOLD_FEW_FILES") == "" {
		cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$", "-test.v")
		cmd.Env = append(os.Environ(), "CRANKHOLD_FEW_FILES=1")
		if out, err := cmd.CombinedOutput(); err != nil || !strings.Contains(string(out), "all dials succeeded") {
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
		return newEchoHandler(c, 0)
	})
	var idle []net.Conn
	for range 8 {
		idle = append(idle, dial(t, l))
		<-accepted
	}
	files := exhaustDescriptors(t)
	if len(files) == 0 {
		t.Fatal("no descriptor was left to occupy")
	}
	for _, network := range []string{"tcp", "udp"} {
		d := newDialRecorder()
		l.Post(func() { l.Dial(network, ln.Addr().String(), time.Second, d) })
		if err := <-d.opened; err != nil {
			t.Fatalf("%s: %v", network, err)
		}
	}
	t.Log("all dials succeeded")
	closed := 0
	for _, c := range idle {
		c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
			closed++
		}
	}
	if closed == 0 || closed == len(idle) {
		t.Errorf("%d of %d idle clients were closed", closed, len(idle))
	}
	for _, f := range files {
		f.Close()
	}
}
