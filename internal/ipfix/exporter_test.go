package ipfix

import (
	"bytes"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/netsampler/goflow2/v2/decoders/netflow"
	"pgregory.net/rapid"

	"crankhold/internal/eventloop"
	"crankhold/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

var noon = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

// newTestExporter returns an exporter of domain 7 that uses the same transport for all its sockets.
func newTestExporter(transport Transport) *Exporter {
	return New(ExporterConfig{
		Domain:    7,
		WallClock: func() time.Time { return noon },
		Dial:      func(eventloop.DialHandler) Transport { return transport },
	})
}

// An independent decoder reads all added records in order. This requires that templates precede the records that they
// describe; the sequence number of each message must be the number of records before it.
func TestCollectorDecodesAddedFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		transport := &testutil.Transport{}
		exporter := newTestExporter(transport)
		now := time.Hour
		exporter.Tick(now)
		exporter.DialCompleted(nil)
		templates := netflow.CreateTemplateSystem()
		var want, got []string
		var records uint32
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				for range rapid.IntRange(1, 60).Draw(t, "n") {
					f := Flow{Client: netip.MustParseAddrPort("127.0.0.9:4000"), Server: netip.MustParseAddrPort("127.0.0.1:10080"),
						Start: noon, End: noon.Add(time.Second), Octets: rapid.Uint64Range(0, 1<<14).Draw(t, "octets"),
						Class: rapid.SampledFrom([]string{"dim-level", "repair-order", ""}).Draw(t, "class")}
					if rapid.Bool().Draw(t, "six") {
						f.Client = netip.MustParseAddrPort("[::1]:4000")
						f.Server = netip.MustParseAddrPort("[::2]:10080")
					}
					exporter.Add(f)
					want = append(want, fmt.Sprintf("%x %x %d %q", f.Client.Addr().AsSlice(), f.Server.Addr().AsSlice(), f.Octets, f.Class))
				}
			},
			"send": func(t *rapid.T) {
				if len(want)-len(got) > maxQueuedRecords {
					t.Skip("the queue has overflowed")
				}
				now += flushInterval
				exporter.Tick(now)
				for transport.Written.Len() > 0 {
					size := int(transport.Written.Bytes()[2])<<8 | int(transport.Written.Bytes()[3])
					if size > maxMessageBytes {
						t.Fatalf("a message of %d bytes", size)
					}
					var p netflow.IPFIXPacket
					if err := netflow.DecodeMessageVersion(bytes.NewBuffer(transport.Written.Next(size)), templates, nil, &p); err != nil {
						t.Fatal(err)
					}
					if p.ObservationDomainId != 7 || p.SequenceNumber != records || p.ExportTime != uint32(noon.Unix()) {
						t.Fatalf("header %+v, want sequence %d", p, records)
					}
					for _, set := range p.FlowSets {
						data, ok := set.(netflow.DataFlowSet)
						if !ok {
							continue
						}
						for _, r := range data.Records {
							records++
							v := map[uint16][]byte{}
							for _, f := range r.Values {
								v[f.Type], _ = f.Value.([]byte)
							}
							octets := uint64(0)
							for _, b := range v[1] {
								octets = octets<<8 | uint64(b)
							}
							got = append(got, fmt.Sprintf("%x %x %d %q", append(v[8], v[27]...), append(v[12], v[28]...), octets, v[96]))
						}
					}
				}
				if fmt.Sprint(got) != fmt.Sprint(want) {
					t.Fatalf("read %d records, added %d; first %v", len(got), len(want), got[:min(1, len(got))])
				}
			},
		})
	})
}

// The queue has a limit while no collector is connected, and dropped records are counted.
func TestQueuedRecordsAreBounded(t *testing.T) {
	exporter := newTestExporter(&testutil.Transport{})
	for range maxQueuedRecords + 5 {
		exporter.Add(Flow{Client: netip.MustParseAddrPort("127.0.0.9:1"), Server: netip.MustParseAddrPort("127.0.0.1:2")})
	}
	if exporter.Counters.Dropped != 5 || len(exporter.queue) != maxQueuedRecords {
		t.Errorf("%d queued, counters %+v", len(exporter.queue), exporter.Counters)
	}
}
