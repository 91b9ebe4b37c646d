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
	// ErrTooManyConnections is the reason for which an accepted connection beyond the limit is closed.
	ErrTooManyConnections = errors.New("too many accepted connections")
	// ErrSlowPeer is the reason for which a peer is closed that does not read while all peers leave too much unread.
	ErrSlowPeer = errors.New("peer does not read")

	// errNoLocalAddress is returned for a socket whose local address the system does not report.
	errNoLocalAddress = errors.New("socket has no local address")
	// errLoopEnded is the result of a dial that succeeded after the loop had ended.
	errLoopClosed = errors.New("event loop has ended")
)

// ListenError is returned by Loop.Start for an address that can't be listened on.
type ListenError struct {
	Addr string // as it was given to Listen
	Err  error  // from package net
}

// Error returns the cause, which names the address as the system understood it.
func (e *ListenError) Error() string { return fmt.Sprintf("listen: %v", e.Err) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// SlowPeerError is the reason for which a connection to a peer that does not read was closed. It is an ErrSlowPeer.
type SlowPeerError struct {
	Addr        netip.AddrPort // of the peer; zero where it has none, as with a Unix socket
	UnreadBytes int            // that the peer left unread
}

// Error returns the message of ErrSlowPeer.
func (e *SlowPeerError) Error() string { return ErrSlowPeer.Error() }

// Unwrap returns ErrSlowPeer.
func (e *SlowPeerError) Unwrap() error { return ErrSlowPeer }

// localFaults are the errors of system calls by which a dial fails because of this machine, as a rule for a moment.
var localErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR,
	syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN,
}

// IsLocalFault reports whether an error is caused by this machine and says nothing about a peer.
func IsLocalFault(err error) bool {
	return slices.ContainsFunc(localErrors, func(errno syscall.Errno) bool { return errors.Is(err, errno) })
}

// isConnClosed reports whether a write failed because the peer has closed or reset the connection.
func isConnClosed(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed)
}

// IsDescriptorExhausted reports whether an error means that this machine has no descriptor or buffer left. It says
// nothing about a peer.
func IsDescriptorExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS)
}
