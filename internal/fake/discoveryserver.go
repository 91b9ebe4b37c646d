package fake

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Names in the discovery server's zone.
const (
	zoneName    = "pool.lan"
	serviceName = "_back._tcp.pool.lan"
)

// The priority of an SRV record shows whether the worker is draining. All records have the same weight.
const (
	priorityReady    = 0
	priorityDraining = 1
	endpointWeight   = 10
)

// maxQuerySize is the maximum size of a query (RFC 1035, section 4.2.1).
const maxQuerySize = 512

// Endpoint is an endpoint in the discovery server's list.
type Endpoint struct {
	Name      string
	Addr      string
	Kind      string
	Zone      string
	MoreAddrs []Address // further addresses
	Cell      int
	Draining  bool
	Started   int64 // Unix milliseconds, or 0
}

// host returns the endpoint's host name.
func (e Endpoint) host() string { return e.Name + "." + e.Zone + ".hosts" }

// DiscoveryServer is a fake discovery server. It responds to DNS queries over UDP with its endpoint list, on its own
// goroutine.
type DiscoveryServer struct {
	conn    net.PacketConn
	stopped chan struct{}

	mu            sync.Mutex // guards the fields below
	serial        uint32
	list          []Endpoint
	firstServedAt map[uint32]time.Time // by serial; when that list was first sent in a response
}

// NewDiscoveryServer starts a discovery server. Its first list has serial 1.
func NewDiscoveryServer(addr string, list []Endpoint) (*DiscoveryServer, error) {
	conn, err := net.ListenPacket("udp", addr)
	if err != nil {
		return nil, err
	}
	d := &DiscoveryServer{
		conn:          conn,
		stopped:       make(chan struct{}),
		serial:        1,
		list:          list,
		firstServedAt: map[uint32]time.Time{},
	}
	go d.serve()
	return d, nil
}

// Addr returns the address that the server listens on.
func (d *DiscoveryServer) Addr() string { return d.conn.LocalAddr().String() }

// SetEndpoints replaces the list and returns the serial of the new list.
func (d *DiscoveryServer) SetEndpoints(list []Endpoint) uint32 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.serial++
	d.list = list
	return d.serial
}

// FirstServedAt returns when the list with the given serial was first sent in a response, or the zero time if it was
// not sent.
func (d *DiscoveryServer) FirstServedAt(serial uint32) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.firstServedAt[serial]
}

// Close stops the server and blocks until it has stopped. It may be called more than once.
func (d *DiscoveryServer) Close() {
	d.conn.Close()
	<-d.stopped
}

// serve responds to queries until the socket is closed.
func (d *DiscoveryServer) serve() {
	defer close(d.stopped)
	query := make([]byte, maxQuerySize)
	for {
		n, from, err := d.conn.ReadFrom(query)
		if err != nil {
			return
		}
		if n > dnsHeaderSize {
			d.conn.WriteTo(d.respondTo(query[:n]), from)
		}
	}
}

// respondTo returns the response to a query. Whatever the question is, the response contains the complete list: SRV
// records, the zone's serial, and the addresses and labels of each host.
func (d *DiscoveryServer) respondTo(query []byte) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.firstServedAt[d.serial]; !known {
		d.firstServedAt[d.serial] = time.Now()
	}
	response := newDNSResponse(query)
	for _, endpoint := range d.list {
		response.addService(endpoint)
	}
	response.add(sectionAuthority, zoneName, recordSOA, soaData(zoneName, d.serial))
	for _, endpoint := range d.list {
		response.addHost(endpoint)
	}
	return response.message
}

// addService adds an endpoint's SRV record. It adds nothing if the endpoint's address is invalid.
func (r *dnsResponse) addService(endpoint Endpoint) {
	addr, err := net.ResolveTCPAddr("tcp", endpoint.Addr)
	if err != nil {
		return
	}
	priority := uint16(priorityReady)
	if endpoint.Draining {
		priority = priorityDraining
	}
	data := srvData(priority, endpointWeight, uint16(addr.Port), endpoint.host())
	r.add(sectionAnswer, serviceName, recordSRV, data)
}

// addHost adds the addresses and labels of an endpoint's host. An IPv6 address becomes an AAAA record; the path of a
// Unix socket becomes a label.
func (r *dnsResponse) addHost(endpoint Endpoint) {
	addr, err := net.ResolveTCPAddr("tcp", endpoint.Addr)
	if err != nil {
		return
	}
	r.add(sectionAdditional, endpoint.host(), recordA, addr.IP.To4())
	labels := []string{
		"kind=" + endpoint.Kind,
		fmt.Sprintf("cell=%d", endpoint.Cell),
		fmt.Sprintf("started=%d", endpoint.Started),
	}
	for _, more := range endpoint.MoreAddrs {
		switch more.Network {
		case NetworkUnix:
			labels = append(labels, "unix="+more.Addr)
		case NetworkTCP6:
			if ipv6, err := net.ResolveTCPAddr(more.Network, more.Addr); err == nil {
				r.add(sectionAdditional, endpoint.host(), recordAAAA, ipv6.IP.To16())
			}
		}
	}
	r.add(sectionAdditional, endpoint.host(), recordTXT, txtData(labels))
}
