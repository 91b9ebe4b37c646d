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
	protocolVersion    = 10
	templateSetID      = 2
	messageHeaderBytes = 16
	setHeaderBytes     = 4
	maxMessageBytes    = 1400 // under an Ethernet frame, so that no message is fragmented
	maxQueuedRecords   = 1024 // records; what comes beyond is dropped and counted
	flushInterval      = time.Second
	templateInterval   = time.Minute // UDP may lose one, and collectors forget them
	redialDelay        = 5 * time.Second
	maxClassBytes      = 64
	variableLength     = 65535
)

// The information elements of a record, from IANA's registry, and their lengths.
var (
	common = []fieldSpecifier{{152, 8}, {153, 8}, {7, 2}, {11, 2}, {4, 1}, {1, 8}, {136, 1}, {96, variableLength}}
	// flowStartMilliseconds, flowEndMilliseconds, ports, protocolIdentifier, octetDeltaCount,
	// flowEndReason and applicationName, behind sourceIPv4Address and destinationIPv4Address or
	// the same of IPv6.
	templates = map[uint16][]fieldSpecifier{
		256: append([]fieldSpecifier{{8, 4}, {12, 4}}, common...),
		257: append([]fieldSpecifier{{27, 16}, {28, 16}}, common...),
	}
)

type fieldSpecifier struct{ id, length uint16 }

const (
	protocolTCP       = 6
	endOfFlowDetected = 3 // flowEndReason: the end was seen
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
	domain        uint32
	dial          func(h eventloop.DialHandler) Transport
	wallClock     func() time.Time
	transport     Transport
	connected     bool
	now           time.Duration
	nextDial      time.Duration
	nextFlush     time.Duration
	nextTemplates time.Duration
	queue         []record
	sequence      uint32 // records sent before, as each message tells
	Counters      Counters
}

type record struct {
	template uint16
	data     []byte
}

// New returns an Exporter that opens its socket by dial.
func New(c *Config, wall func() time.Time, dial func(h eventloop.DialHandler) Transport) *Exporter {
	return &Exporter{domain: c.Domain, dial: dial, wallClock: wall}
}

// Add takes a call in.
func (x *Exporter) Add(f Flow) {
	x.Counters.Records++
	client, server := f.Client.Addr().Unmap(), f.Server.Addr().Unmap()
	if len(x.queue) >= maxQueuedRecords || !client.IsValid() || client.Is4() != server.Is4() {
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
	r.data = append(r.data, protocolTCP)
	r.data = binary.BigEndian.AppendUint64(r.data, f.Octets)
	class := f.Class[:min(len(f.Class), maxClassBytes)]
	r.data = append(r.data, endOfFlowDetected, byte(len(class)))
	x.queue = append(x.queue, record{r.template, append(r.data, class...)})
}

// Tick sends what has gathered, and returns when it is to be called again.
func (x *Exporter) Tick(now time.Duration) time.Duration {
	x.now = now
	if x.transport == nil {
		if now < x.nextDial {
			return x.nextDial
		}
		x.nextDial = now + redialDelay
		x.transport = x.dial(x)
	}
	if !x.connected {
		return x.nextDial
	}
	if now < x.nextFlush {
		return x.nextFlush
	}
	x.nextFlush = now + flushInterval
	for len(x.queue) > 0 {
		x.transport.Write(x.nextMessage())
	}
	return x.nextFlush
}

// nextMessage takes as many records as fit in one nextMessage, each run of one template a set.
func (x *Exporter) nextMessage() []byte {
	b := make([]byte, messageHeaderBytes, maxMessageBytes)
	if x.nextTemplates <= x.now {
		x.nextTemplates = x.now + templateInterval
		b = appendTemplates(b)
	}
	set, sent := 0, 0
	var last uint16
	for _, r := range x.queue {
		if len(b)+setHeaderBytes+len(r.data) > maxMessageBytes {
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
	x.queue = append(x.queue[:0], x.queue[sent:]...)
	binary.BigEndian.PutUint16(b, protocolVersion)
	binary.BigEndian.PutUint16(b[2:], uint16(len(b)))
	binary.BigEndian.PutUint32(b[4:], uint32(x.wallClock().Unix()))
	binary.BigEndian.PutUint32(b[8:], x.sequence)
	binary.BigEndian.PutUint32(b[12:], x.domain)
	x.sequence += uint32(sent)
	x.Counters.Sent += uint64(sent)
	x.Counters.Messages++
	return b
}

func appendTemplates(b []byte) []byte {
	from := len(b)
	b = append(b, 0, templateSetID, 0, 0)
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
	if x.connected = err == nil; !x.connected {
		x.Closed(err)
		return
	}
	x.nextTemplates = 0
}

// Data ignores what a collector says: IPFIX has no answers.
func (x *Exporter) Data([]byte) {}

// Closed has the socket opened again a little later; a collector that is not there shows this way.
func (x *Exporter) Closed(err error) {
	if err == nil {
		err = errors.New("closed")
	}
	slog.Warn("collector_connection_lost", "err", err)
	x.transport, x.connected, x.nextDial = nil, false, x.now+redialDelay
}
