package ipfix

import (
	"encoding/hex"
	"math"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"crankhold/internal/eventloop"
	"crankhold/internal/golden"
)

// datagramTransport records each write separately, because over UDP each write is a datagram.
type datagramTransport struct{ sent [][]byte }

func (t *datagramTransport) Write(bufs ...[]byte) {
	var datagram []byte
	for _, b := range bufs {
		datagram = append(datagram, b...)
	}
	t.sent = append(t.sent, datagram)
}

func (t *datagramTransport) Close() {}

// fakeCollector drives an exporter and formats the messages that it sends.
type fakeCollector struct {
	exporter   *Exporter
	transport  *datagramTransport
	now        time.Duration
	transcript string
}

// newFakeCollector returns a fakeCollector whose exporter has no socket yet.
func newFakeCollector() *fakeCollector {
	c := &fakeCollector{now: time.Hour}
	c.exporter = New(ExporterConfig{
		Domain:    0x01020304,
		WallClock: func() time.Time { return noon.Add(c.now) },
		Dial: func(eventloop.DialHandler) Transport {
			c.transport = &datagramTransport{}
			return c.transport
		},
	})
	return c
}

// connect opens the exporter's socket.
func (c *fakeCollector) connect() {
	c.exporter.Tick(c.now)
	c.exporter.DialCompleted(nil)
}

// export adds the flows, advances the clock, and appends the messages that are sent to the transcript.
func (c *fakeCollector) export(label string, after time.Duration, flows ...Flow) {
	for _, f := range flows {
		c.exporter.Add(f)
	}
	c.now += after
	c.transport.sent = nil
	c.exporter.Tick(c.now)
	for _, datagram := range c.transport.sent {
		c.transcript += label + ":\n" + hex.Dump(datagram) + "\n"
	}
	if len(c.transport.sent) == 0 {
		c.transcript += label + ":\n(no message)\n\n"
	}
}

// flow returns a flow of 1.5 s duration with a body of 16 KiB.
func flow(client, server, class string) Flow {
	return Flow{Client: netip.MustParseAddrPort(client), Server: netip.MustParseAddrPort(server),
		Start: noon, End: noon.Add(1500 * time.Millisecond), Octets: 16384, Class: class}
}

// repeated returns count copies of a flow.
func repeated(f Flow, count int) []Flow {
	var flows []Flow
	for range count {
		flows = append(flows, f)
	}
	return flows
}

// The bytes of each message equal those of the golden file: header, templates, records of each kind, and the split of
// records into messages.
func TestGoldenMessages(t *testing.T) {
	const (
		client4, server4 = "192.0.2.7:4000", "198.51.100.1:10080"
		client6, server6 = "[2001:db8::7]:4001", "[2001:db8::1]:10081"
		mapped4          = "[::ffff:192.0.2.8]:4002"
	)
	ipv4 := flow(client4, server4, "dim-level")
	ipv6 := flow(client6, server6, "repair-order")
	largest := ipv4
	largest.Octets = math.MaxUint64
	c := newFakeCollector()
	c.connect()
	c.export("templates, then an IPv4 record", flushInterval, ipv4)
	c.export("IPv4 record", flushInterval, ipv4)
	c.export("IPv6 record", flushInterval, ipv6)
	c.export("IPv4 record of a mapped address", flushInterval, flow(mapped4, server4, "extend"))
	c.export("record without a class", flushInterval, flow(client4, server4, ""))
	c.export("record of a class of 65 bytes, cut to 64", flushInterval, flow(client4, server4, strings.Repeat("c", 64)+"x"))
	c.export("record of the largest number of octets", flushInterval, largest)
	c.export("records of both kinds in turn", flushInterval, ipv4, ipv4, ipv6, ipv6, ipv4)
	c.export("records of mixed or unknown addresses, dropped", flushInterval, flow(client4, server6, "dim-level"), Flow{Server: ipv4.Server})
	// A message takes records of 43 bytes until no other fits. It could hold one more record of 46 bytes, but the check
	// for capacity adds a set header for each record.
	c.export("records of 43 bytes for two messages", flushInterval, repeated(flow(client4, server4, "load"), 33)...)
	c.export("records of 46 bytes for two messages", flushInterval, repeated(flow(client4, server4, "inspect"), 31)...)
	c.export("templates again after a minute", templateInterval, ipv6)
	c.exporter.Closed(nil)
	c.now += redialDelay
	c.connect()
	c.export("templates again on a new socket", flushInterval, ipv6)
	golden.Compare(t, filepath.Join("testdata", "messages.txt"), []byte(c.transcript))
}
