package eventloop

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"syscall"
)

var (
	// ErrTooManyConnections is the reason why accepted connections beyond the limit are closed.
	ErrTooManyConnections = errors.New("too many accepted connections")
	// ErrSlowPeer is the reason why a connection is closed if its peer does not read and all peers together leave too
	// many bytes unread.
	ErrSlowPeer = errors.New("peer does not read")

	// errNoLocalAddress is returned for a socket whose local address the system does not report.
	errNoLocalAddress = errors.New("socket has no local address")
	// errLoopClosed is the result of a dial that succeeds after the loop was closed.
	errLoopClosed = errors.New("event loop is closed")
)

// ListenError is returned by Loop.Start for an address that it can't listen on.
type ListenError struct {
	Addr string // as passed to Listen
	Err  error  // from package net
}

// Error returns the message of the cause, which contains the address as the system resolved it.
func (e *ListenError) Error() string { return fmt.Sprintf("listen: %v", e.Err) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// SlowPeerError is the error of a connection that was closed because its peer does not read. It wraps ErrSlowPeer.
type SlowPeerError struct {
	Addr        netip.AddrPort // of the peer; zero if it has no TCP address, as on a Unix socket
	UnreadBytes int            // bytes that the peer has not read
}

// Error returns the message of ErrSlowPeer.
func (e *SlowPeerError) Error() string { return ErrSlowPeer.Error() }

// Unwrap returns ErrSlowPeer.
func (e *SlowPeerError) Unwrap() error { return ErrSlowPeer }

// localErrors are the system call errors by which a dial fails because of this machine. They are usually temporary.
var localErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR,
	syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN,
}

// IsLocalError reports whether an error is caused by this machine and therefore says nothing about the peer.
func IsLocalError(err error) bool {
	return slices.ContainsFunc(localErrors, func(errno syscall.Errno) bool { return errors.Is(err, errno) })
}

// isConnClosed reports whether a write failed because the connection was closed or reset.
func isConnClosed(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed)
}

// IsDescriptorExhausted reports whether an error means that this machine has no free descriptor or buffer left. Such an
// error says nothing about the peer.
func IsDescriptorExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS)
}
