package discovery

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"

	"crankhold/policy"
)

// A worker has all usable addresses of its target: several A and AAAA records, and a Unix socket if the extension is
// enabled.
func TestWorkerHasAllItsAddresses(t *testing.T) {
	for _, extensionOn := range []bool{false, true} {
		d := newTestClientWithConfig(t, Config{UnixInTXT: extensionOn})
		b := responseTo(d.query(), 4, 0)
		record := func(recordType uint16, data []byte) {
			binary.BigEndian.PutUint16(b[10:], binary.BigEndian.Uint16(b[10:])+1)
			for _, label := range []string{"s-0", "east", "hosts"} {
				b = append(append(b, byte(len(label))), label...)
			}
			b = append(binary.BigEndian.AppendUint16(append(b, 0), recordType), 0, 1, 0, 0, 0, 1)
			b = append(binary.BigEndian.AppendUint16(b, uint16(len(data))), data...)
		}
		record(typeA, []byte{10, 1, 0, 77})
		record(typeAAAA, netip.MustParseAddr("fd00::1").AsSlice())
		record(typeAAAA, netip.MustParseAddr("ff02::1").AsSlice()) // multicast
		record(typeTXT, append([]byte{byte(len("unix=/run/w.sock"))}, "unix=/run/w.sock"...))
		d.sockets.current.Data(b)
		want := "[10.1.0.0:10080 10.1.0.77:10080 [fd00::1]:10080]"
		if extensionOn {
			want = "[10.1.0.0:10080 10.1.0.77:10080 [fd00::1]:10080 unix:/run/w.sock]"
		}
		if len(d.list) != 1 || fmt.Sprint(d.list[0].Addrs) != want {
			t.Errorf("extension %v: %v, want addresses %s", extensionOn, d.list, want)
		}
	}
}

// withoutAddress removes the address record of one worker from a response, by giving it an unknown type.
func withoutAddress(t *testing.T, b []byte, host byte) []byte {
	t.Helper()
	record := []byte{0, typeA, 0, classIN, 0, 0, 0, 0, 0, 4, 10, 1, 0, host}
	for i := range b {
		if i+len(record) <= len(b) && string(b[i:i+len(record)]) == string(record) {
			binary.BigEndian.PutUint16(b[i:], 99)
			return b
		}
	}
	t.Fatal("the response has no address record of the worker")
	return nil
}

// An SRV record without an address does not invalidate the others. A drain in the same list is applied, the worker
// keeps its former address, and a worker that never had an address is left out. The complete list of the same serial
// number is applied.
func TestMissingAddressAffectsOnlyItsWorker(t *testing.T) {
	d := newTestClient(t)
	d.sockets.current.Data(responseTo(d.query(), 4, 0, 0))
	d.sockets.current.Data(withoutAddress(t, responseTo(d.query(), 5, 0, 1, 0), 0)) // s-0 has lost its address, s-1 drains, s-2 is new
	if len(d.list) != 3 || d.list[1].State != policy.Draining || d.list[0].Addrs[0].Addr != "10.1.0.0:10080" {
		t.Fatalf("list %v", d.list)
	}
	d.sockets.current.Data(withoutAddress(t, responseTo(d.query(), 6, 0, 1, 0, 0), 3)) // s-3 never had one
	if len(d.list) != 3 || d.endpoints.serial != 6 {
		t.Fatalf("serial %d, list %v", d.endpoints.serial, d.list)
	}
	read := d.ResponsesRead
	d.sockets.current.Data(withoutAddress(t, responseTo(d.query(), 6, 0, 1, 0, 0), 3))
	if len(d.list) != 3 || d.ResponsesRead != read {
		t.Errorf("the same incomplete list: read %d, list %v", d.ResponsesRead-read, d.list)
	}
	if d.sockets.current.Data(responseTo(d.query(), 6, 0, 1, 0, 0)); len(d.list) != 4 {
		t.Errorf("after the complete list of the same serial number: %v", d.list)
	}
	if d.sockets.current.Data(responseTo(d.query(), 6, 0)); len(d.list) != 4 {
		t.Errorf("a complete list was applied again: %v", d.list)
	}
}
