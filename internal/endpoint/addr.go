package endpoint

import (
	"fmt"
	"net/netip"
	"strings"
)

// Network is a kind of address. The networks are in the default order of preference: a socket on the same machine, then
// IPv6 before IPv4 (RFC 6724, section 2.1).
type Network uint8

// The networks.
const (
	Unix Network = iota
	TCP6
	TCP4
	networkCount
)

// String returns the network's name in package net and in the routes language.
func (n Network) String() string { return [...]string{"unix", "tcp6", "tcp4"}[n] }

// ParseNetwork returns the network of a name that String returns, and false for any other text.
func ParseNetwork(s string) (Network, bool) {
	for n := range networkCount {
		if n.String() == s {
			return n, true
		}
	}
	return 0, false
}

// Addr is an address of a worker. Parse makes it in a canonical form, so that equal addresses compare as equal.
type Addr struct {
	Network Network
	Addr    string // host:port, or the path of a Unix socket
}

// String returns the address; the path of a Unix socket has its network before it.
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

// ParseError is the reason for which a text is no address of its network.
type ParseError struct {
	Network Network
	Text    string
	Reason  string // a sentence that names the text
}

// Error returns the reason.
func (e *ParseError) Error() string { return e.Reason }

// Parse reads an address of a network: host:port with a numeric host, or the path of a Unix socket. A zone is accepted
// with a link-local address only, where it has a meaning (RFC 4007, section 11). Errors are of type *ParseError.
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
	reason := unusableReason(n, s, addrPort)
	if reason != "" {
		return Addr{}, &ParseError{Network: n, Text: s, Reason: reason}
	}
	return Addr{n, addrPort.String()}, nil
}

// unusableReason returns why nothing of network n can be reached at an address, empty where it can be.
func unusableReason(n Network, text string, addrPort netip.AddrPort) string {
	ip := addrPort.Addr()
	switch {
	case ip.Is4In6():
		return fmt.Sprintf("%s is an IPv4 address worded as an IPv6 one", text)
	case ip.Is4() != (n == TCP4):
		return fmt.Sprintf("%s is no address of %v", text, n)
	case addrPort.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast():
		return fmt.Sprintf("%s is nothing that one can connect to", text)
	case !zoneAllowed(ip):
		return fmt.Sprintf("%s has a zone: only a link-local address has one, of up to %d bytes", text, maxZoneLength)
	}
	return ""
}

// zoneAllowed reports whether an address has no zone, or one that it may have.
func zoneAllowed(ip netip.Addr) bool {
	return ip.Zone() == "" || ip.IsLinkLocalUnicast() && len(ip.Zone()) <= maxZoneLength
}

// ParseHost reads host:port with a numeric host, of either IP network. Errors are of type *ParseError.
func ParseHost(s string) (Addr, error) {
	addr, err := Parse(TCP4, s)
	if err == nil {
		return addr, nil
	}
	return Parse(TCP6, s)
}
