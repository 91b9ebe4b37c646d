package endpoint

import (
	"fmt"
	"net/netip"
	"strings"
)

// Network is the type of an address. The constants are in the default order of preference: a Unix socket on the same
// machine first, then IPv6 before IPv4 (RFC 6724, section 2.1).
type Network uint8

// The networks.
const (
	Unix Network = iota
	TCP6
	TCP4
	networkCount
)

// String returns the network's name, which is the same in package net and in the routes language.
func (n Network) String() string { return [...]string{"unix", "tcp6", "tcp4"}[n] }

// ParseNetwork returns the network with this name, as String returns it. It returns false for any other text.
func ParseNetwork(s string) (Network, bool) {
	for n := range networkCount {
		if n.String() == s {
			return n, true
		}
	}
	return 0, false
}

// Addr is an address of a worker. Parse returns it in canonical form, so that equal addresses compare equal.
type Addr struct {
	Network Network
	Addr    string // host:port, or the path of a Unix socket
}

// String returns the address. The path of a Unix socket has the prefix "unix:".
func (a Addr) String() string {
	if a.Network == Unix {
		return "unix:" + a.Addr
	}
	return a.Addr
}

// Limits on addresses.
const (
	MaxAddresses      = 8   // addresses per worker
	MaxUnixPathLength = 107 // bytes of a socket's path; sun_path has one more for the terminating NUL (unix(7))
	maxZoneLength     = 15  // bytes of an interface name; the limit of Linux
)

// ParseError reports text that is not a valid address of a network.
type ParseError struct {
	Network Network
	Text    string
	Reason  string // the error message, which includes the text
}

// Error returns Reason.
func (e *ParseError) Error() string { return e.Reason }

// Parse parses an address of a network: host:port with a numeric host, or the path of a Unix socket. A zone is accepted
// only with a link-local address, because it has no meaning for others (RFC 4007, section 11). The error is a
// *ParseError.
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
		reason = fmt.Sprintf("the path %.20q... has %d bytes; the maximum is %d", path, len(path), MaxUnixPathLength)
	case strings.ContainsRune(path, 0):
		reason = fmt.Sprintf("the path %q contains a zero byte", path)
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

// unusableReason returns why an address can't be dialed over network n, or "" if it can.
func unusableReason(n Network, text string, addrPort netip.AddrPort) string {
	ip := addrPort.Addr()
	switch {
	case ip.Is4In6():
		return fmt.Sprintf("%s is an IPv4 address written as an IPv6 address", text)
	case ip.Is4() != (n == TCP4):
		return fmt.Sprintf("%s is no address of %v", text, n)
	case addrPort.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast():
		return fmt.Sprintf("%s can't be dialed: its port is 0, or its host is unspecified or multicast", text)
	case !zoneAllowed(ip):
		return fmt.Sprintf("%s has a zone: only a link-local address has one, of up to %d bytes", text, maxZoneLength)
	}
	return ""
}

// zoneAllowed reports whether an address has no zone, or a valid zone of a link-local address.
func zoneAllowed(ip netip.Addr) bool {
	return ip.Zone() == "" || ip.IsLinkLocalUnicast() && len(ip.Zone()) <= maxZoneLength
}

// ParseHost parses host:port with a numeric host, either IPv4 or IPv6. The error is a *ParseError.
func ParseHost(s string) (Addr, error) {
	addr, err := Parse(TCP4, s)
	if err == nil {
		return addr, nil
	}
	return Parse(TCP6, s)
}
