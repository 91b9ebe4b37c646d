package ipfix_test

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"crankhold/internal/eventloop"
	"crankhold/internal/ipfix"
)

// datagrams is a Transport that records the datagrams that are sent over it.
type datagrams [][]byte

func (d *datagrams) Write(bufs ...[]byte) { *d = append(*d, bufs...) }

func (d *datagrams) Close() {}

// An exporter queues the record of a flow and sends it on the next flush, after the templates that a collector needs to
// decode it.
func ExampleExporter() {
	var sent datagrams
	var handler eventloop.DialHandler
	noon := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	exporter := ipfix.New(ipfix.ExporterConfig{
		Domain:    7,
		WallClock: func() time.Time { return noon },
		Dial: func(h eventloop.DialHandler) ipfix.Transport {
			handler = h
			return &sent
		},
	})

	// The first tick dials the collector; the event loop reports that the dial has completed.
	now := time.Hour
	exporter.Tick(now)
	handler.DialCompleted(nil)

	exporter.Add(ipfix.Flow{
		Client: netip.MustParseAddrPort("192.0.2.7:4000"),
		Server: netip.MustParseAddrPort("198.51.100.1:10080"),
		Start:  noon.Add(-time.Second),
		End:    noon,
		Octets: 512,
		Class:  "dim-level",
	})
	exporter.Tick(now)

	// A message starts with the version, its length, the time, a sequence number and the observation domain. Sets
	// follow, each with its id and its length.
	message := sent[0]
	fmt.Println("version", binary.BigEndian.Uint16(message), "domain", binary.BigEndian.Uint32(message[12:]))
	for sets := message[16:]; len(sets) > 0; {
		id, length := binary.BigEndian.Uint16(sets), binary.BigEndian.Uint16(sets[2:])
		fmt.Println("set", id, "of", length, "bytes")
		sets = sets[length:]
	}
	fmt.Printf("%+v\n", exporter.Counters)

	// Output:
	// version 10 domain 7
	// set 2 of 92 bytes
	// set 256 of 52 bytes
	// {Records:1 Sent:1 Dropped:0 Messages:1}
}
