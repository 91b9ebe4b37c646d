package endpoint

import (
	"fmt"
	"net/netip"
	"strings"
)

// Network is a kind of address, in the order of preference unless another is set: a socket on the same machine, then
// IPv6 before IPv4 (RFC 6724, section 2.1).
type Network uint8

// The networks.
const (
	Unix Network = iota
	TCP6
	TCP4
	networkCount
)

// String returns the network's name, as package net and the routes language word it.
func (n Network) String() string { return [...]string{"unix", "tcp6", "tcp4"}[n] }

// ParseNetwork reads such a name.
func ParseNetwork(s string) (Network, bool) {
	for n := range networkCount {
		if n.String() == s {
			return n, true
		}
	}
	return 0, false
}

// Addr is an address. It is made by Parse, which words each in one way, so that equal addresses are the same.
type Addr struct {
	Network Network
	Addr    string
}

// String returns the address, with its network where that does not show.
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
	maxZoneLength     = 15  // bytes of an interface's name, as Linux has them
)

// ParseError says why a text is no address of its network.
type ParseError struct {
	Network Network
	Text    string
	Reason  string // a sentence that names the text
}

// Error returns the reason.
func (e *ParseError) Error() string { return e.Reason }

// Parse reads an address of a network: host:port with a numeric host, or the path of a Unix socket. A zone is taken
// where it means something, with a link-local address (RFC 4007, section 11). Errors are of type *ParseError.
func Parse(n Network, s string) (Addr, error) {
	if n == Unix {
		return parseUnix(s)
	}
	return parseTCP(n, s)
}

func parseUnix(path string) (Addr, error) {
	reason := ""
	switch {
	case !strings.HasPrefix(path, "/"):
		reason = fmt.Sprintf("%q is no absolute path of a socket", path)
	case len(path) > MaxUnixPathLength:
		reason = fmt.Sprintf("the path %.20q... has %d bytes, at most %d", path, len(path), MaxUnixPathLength)
	case strings.ContainsRune(path, 0):
		reason = fmt.Sprintf("the path %q holds a zero byte", path)
	default:
		return Addr{Unix, path}, nil
	}
	return Addr{}, &ParseError{Network: Unix, Text: path, Reason: reason}
}

func parseTCP(n Network, s string) (Addr, error) {
	addrPort, err := netip.ParseAddrPort(s)
	if err != nil {
		return Addr{}, &ParseError{Network: n, Text: s, Reason: fmt.Sprintf("%q is no address with a port", s)}
	}
	ip, reason := addrPort.Addr(), ""
	switch {
	case ip.Is4In6():
		reason = fmt.Sprintf("%s is an IPv4 address worded as an IPv6 one", s)
	case ip.Is4() != (n == TCP4):
		reason = fmt.Sprintf("%s is no address of %v", s, n)
	case addrPort.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast():
		reason = fmt.Sprintf("%s is nothing that one can connect to", s)
	case ip.Zone() != "" && (!ip.IsLinkLocalUnicast() || len(ip.Zone()) > maxZoneLength):
		reason = fmt.Sprintf("%s has a zone: only a link-local address has one, of up to %d bytes", s, maxZoneLength)
	default:
		return Addr{n, addrPort.String()}, nil
	}
	return Addr{}, &ParseError{Network: n, Text: s, Reason: reason}
}

// ParseHost reads host:port of either IP network.
func ParseHost(s string) (Addr, error) {
	addr, err := Parse(TCP4, s)
	if err == nil {
		return addr, nil
	}
	return Parse(TCP6, s)
}
