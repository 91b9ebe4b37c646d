// Package ipfix exports one flow record for each call to a collector, as RFC 7011 describes, over UDP.
package ipfix

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"time"

	"github.com/BurntSushi/toml"

	"crankhold/internal/eventloop"
)

const (
	version       = 10
	templateSet   = 2
	headerBytes   = 16
	setBytes      = 4
	maxMessage    = 1400 // under an Ethernet frame, so that no message is fragmented
	maxWaiting    = 1024 // records; what comes beyond is dropped and counted
	flushEvery    = time.Second
	templateEvery = time.Minute // UDP may lose one, and collectors forget them
	redialAfter   = 5 * time.Second
	maxClass      = 64
	variable      = 65535
)

// The information elements of a record, from IANA's registry, and their lengths.
var (
	common = []element{{152, 8}, {153, 8}, {7, 2}, {11, 2}, {4, 1}, {1, 8}, {136, 1}, {96, variable}}
	// flowStartMilliseconds, flowEndMilliseconds, ports, protocolIdentifier, octetDeltaCount,
	// flowEndReason and applicationName, behind sourceIPv4Address and destinationIPv4Address or
	// the same of IPv6.
	templates = map[uint16][]element{
		256: append([]element{{8, 4}, {12, 4}}, common...),
		257: append([]element{{27, 16}, {28, 16}}, common...),
	}
)

type element struct{ id, length uint16 }

const (
	tcp       = 6
	endOfFlow = 3 // flowEndReason: the end was seen
)

// Config is the export file.
type Config struct {
	Enabled   bool   `toml:"enabled"`
	Collector string `toml:"collector"`
	Domain    uint32 `toml:"observation_domain"`
}

// ReadConfig reads and checks an export file.
func ReadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("export file: %w", err)
	}
	c := &Config{}
	meta, err := toml.Decode(string(text), c)
	if err == nil && len(meta.Undecoded()) > 0 {
		err = fmt.Errorf("unknown setting %s", meta.Undecoded()[0])
	}
	if err == nil && c.Enabled {
		_, err = netip.ParseAddrPort(c.Collector)
	}
	if err != nil {
		return nil, fmt.Errorf("export file %s: %w", path, err)
	}
	return c, nil
}

// Flow is one call, from its client to us.
type Flow struct {
	Client, Server netip.AddrPort
	Start, End     time.Time
	Octets         uint64 // of the call's body
	Class          string
}

// Transport is a socket to the collector; an eventloop.Conn is one.
type Transport interface {
	Write(bufs ...[]byte)
	Close()
}

// Counters tells what became of records. A datagram that was sent may still be lost.
type Counters struct{ Records, Sent, Dropped, Messages uint64 }

// Exporter gathers records and sends them.
type Exporter struct {
	domain   uint32
	dial     func(h eventloop.DialHandler) Transport
	wall     func() time.Time
	line     Transport
	up       bool
	now      time.Duration
	redial   time.Duration
	flush    time.Duration
	template time.Duration
	waiting  []record
	sequence uint32 // records sent before, as each message tells
	Counters Counters
}

type record struct {
	template uint16
	data     []byte
}

// New returns an Exporter that opens its socket by dial.
func New(c *Config, wall func() time.Time, dial func(h eventloop.DialHandler) Transport) *Exporter {
	return &Exporter{domain: c.Domain, dial: dial, wall: wall}
}

// Add takes a call in.
func (x *Exporter) Add(f Flow) {
	x.Counters.Records++
	client, server := f.Client.Addr().Unmap(), f.Server.Addr().Unmap()
	if len(x.waiting) >= maxWaiting || !client.IsValid() || client.Is4() != server.Is4() {
		x.Counters.Dropped++
		return
	}
	r := record{template: 256}
	if !client.Is4() {
		r.template = 257
	}
	r.data = append(append(r.data, client.AsSlice()...), server.AsSlice()...)
	r.data = binary.BigEndian.AppendUint64(r.data, uint64(f.Start.UnixMilli()))
	r.data = binary.BigEndian.AppendUint64(r.data, uint64(f.End.UnixMilli()))
	r.data = binary.BigEndian.AppendUint16(r.data, f.Client.Port())
	r.data = binary.BigEndian.AppendUint16(r.data, f.Server.Port())
	r.data = append(r.data, tcp)
	r.data = binary.BigEndian.AppendUint64(r.data, f.Octets)
	class := f.Class[:min(len(f.Class), maxClass)]
	r.data = append(r.data, endOfFlow, byte(len(class)))
	x.waiting = append(x.waiting, record{r.template, append(r.data, class...)})
}

// Tick sends what has gathered, and returns when it is to be called again.
func (x *Exporter) Tick(now time.Duration) time.Duration {
	x.now = now
	if x.line == nil {
		if now < x.redial {
			return x.redial
		}
		x.redial = now + redialAfter
		x.line = x.dial(x)
	}
	if !x.up {
		return x.redial
	}
	if now < x.flush {
		return x.flush
	}
	x.flush = now + flushEvery
	for len(x.waiting) > 0 {
		x.line.Write(x.message())
	}
	return x.flush
}

// message takes as many records as fit in one message, each run of one template a set.
func (x *Exporter) message() []byte {
	b := make([]byte, headerBytes, maxMessage)
	if x.template <= x.now {
		x.template = x.now + templateEvery
		b = appendTemplates(b)
	}
	set, sent := 0, 0
	var last uint16
	for _, r := range x.waiting {
		if len(b)+setBytes+len(r.data) > maxMessage {
			break
		}
		if r.template != last {
			set, last = len(b), r.template
			b = binary.BigEndian.AppendUint16(b, r.template)
			b = append(b, 0, 0)
		}
		b = append(b, r.data...)
		binary.BigEndian.PutUint16(b[set+2:], uint16(len(b)-set))
		sent++
	}
	x.waiting = append(x.waiting[:0], x.waiting[sent:]...)
	binary.BigEndian.PutUint16(b, version)
	binary.BigEndian.PutUint16(b[2:], uint16(len(b)))
	binary.BigEndian.PutUint32(b[4:], uint32(x.wall().Unix()))
	binary.BigEndian.PutUint32(b[8:], x.sequence)
	binary.BigEndian.PutUint32(b[12:], x.domain)
	x.sequence += uint32(sent)
	x.Counters.Sent += uint64(sent)
	x.Counters.Messages++
	return b
}

func appendTemplates(b []byte) []byte {
	from := len(b)
	b = append(b, 0, templateSet, 0, 0)
	for id := uint16(256); id <= 257; id++ {
		b = binary.BigEndian.AppendUint16(b, id)
		b = binary.BigEndian.AppendUint16(b, uint16(len(templates[id])))
		for _, e := range templates[id] {
			b = binary.BigEndian.AppendUint16(b, e.id)
			b = binary.BigEndian.AppendUint16(b, e.length)
		}
	}
	binary.BigEndian.PutUint16(b[from+2:], uint16(len(b)-from))
	return b
}

// DialCompleted is the end of the dial. A new socket's collector knows no template.
func (x *Exporter) DialCompleted(err error) {
	if x.up = err == nil; !x.up {
		x.Closed(err)
		return
	}
	x.template = 0
}

// Data ignores what a collector says: IPFIX has no answers.
func (x *Exporter) Data([]byte) {}

// Closed has the socket opened again a little later; a collector that is not there shows this way.
func (x *Exporter) Closed(err error) {
	if err == nil {
		err = errors.New("closed")
	}
	slog.Warn("collector_connection_lost", "err", err)
	x.line, x.up, x.redial = nil, false, x.now+redialAfter
}
