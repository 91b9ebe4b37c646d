package endpoint

import (
	"fmt"
	"net/netip"
	"strings"
)

// Network is a kind of address, in the order of preference unless one is told otherwise: a socket on the same
// machine, then IPv6 before IPv4 (RFC 6724, section 2.1).
type Network uint8

// The networks.
const (
	Unix Network = iota
	TCP6
	TCP4
	networks
)

// String returns the network's name, as package net and the configuration language word it.
func (n Network) String() string { return [...]string{"unix", "tcp6", "tcp4"}[n] }

// ParseNetwork reads such a name.
func ParseNetwork(s string) (Network, bool) {
	for n := range networks {
		if n.String() == s {
			return n, true
		}
	}
	return 0, false
}

// Addr is an address. It is made by Parse, which words each in one way: equal addresses are the same.
type Addr struct {
	Network Network
	Addr    string
}

// String words the address with its network where that does not show.
func (a Addr) String() string {
	if a.Network == Unix {
		return "unix:" + a.Addr
	}
	return a.Addr
}

// Bounds on addresses.
const (
	MaxAddresses      = 8   // of one worker
	MaxUnixPathLength = 107 // bytes of a socket's path; the kernel's field holds one more, for the end (unix(7))
	maxZone           = 15  // bytes of an interface's name, as Linux has them
)

// Parse reads an address of a network: host:port with a numeric host, or the path of a Unix socket. A zone is
// taken where it means something, with a link-local address (RFC 4007, section 11).
func Parse(n Network, s string) (Addr, error) {
	if n == Unix {
		switch {
		case !strings.HasPrefix(s, "/"):
			return Addr{}, fmt.Errorf("%q is no absolute path of a socket", s)
		case len(s) > MaxUnixPathLength:
			return Addr{}, fmt.Errorf("the path %.20q... has %d bytes, at most %d", s, len(s), MaxUnixPathLength)
		case strings.ContainsRune(s, 0):
			return Addr{}, fmt.Errorf("the path %q holds a zero byte", s)
		}
		return Addr{Unix, s}, nil
	}
	ap, err := netip.ParseAddrPort(s)
	if err != nil {
		return Addr{}, fmt.Errorf("%q is no address with a port", s)
	}
	ip := ap.Addr()
	switch {
	case ip.Is4In6():
		return Addr{}, fmt.Errorf("%s is an IPv4 address worded as an IPv6 one", s)
	case ip.Is4() != (n == TCP4):
		return Addr{}, fmt.Errorf("%s is no address of %v", s, n)
	case ap.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast():
		return Addr{}, fmt.Errorf("%s is nothing that one can connect to", s)
	case ip.Zone() != "" && (!ip.IsLinkLocalUnicast() || len(ip.Zone()) > maxZone):
		return Addr{}, fmt.Errorf("%s has a zone: only a link-local address has one, of up to %d bytes", s, maxZone)
	}
	return Addr{n, ap.String()}, nil
}

// ParseHost reads host:port of either IP network.
func ParseHost(s string) (Addr, error) {
	if a, err := Parse(TCP4, s); err == nil {
		return a, nil
	}
	return Parse(TCP6, s)
}
