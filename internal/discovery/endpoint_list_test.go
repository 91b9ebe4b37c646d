package discovery

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"crankhold/policy"
)

// A worker has all usable addresses of its target: several A and AAAA records, and a Unix socket where that extension is on.
func TestWorkerHasAllItsAddresses(t *testing.T) {
	for _, on := range []bool{false, true} {
		d := newConfiguredTestClient(t, Config{UnixInTXT: on})
		b := responseTo(d.query(), 4, 0)
		record := func(typ uint16, data []byte) {
			binary.BigEndian.PutUint16(b[10:], binary.BigEndian.Uint16(b[10:])+1)
			for _, l := range []string{"s-0", "east", "hosts"} {
				b = append(append(b, byte(len(l))), l...)
			}
			b = append(binary.BigEndian.AppendUint16(append(b, 0), typ), 0, 1, 0, 0, 0, 1)
			b = append(binary.BigEndian.AppendUint16(b, uint16(len(data))), data...)
		}
		record(typeA, []byte{10, 1, 0, 77})
		record(typeAAAA, netip.MustParseAddr("fd00::1").AsSlice())
		record(typeAAAA, netip.MustParseAddr("ff02::1").AsSlice()) // multicast
		record(typeTXT, append([]byte{byte(len("unix=/run/w.sock"))}, "unix=/run/w.sock"...))
		d.sockets.current.Data(b)
		want := "[10.1.0.0:10080 10.1.0.77:10080 [fd00::1]:10080]"
		if on {
			want = "[10.1.0.0:10080 10.1.0.77:10080 [fd00::1]:10080 unix:/run/w.sock]"
		}
		if len(d.list) != 1 || fmt.Sprint(d.list[0].Addrs) != want {
			t.Errorf("extension %v: %v, want addresses %s", on, d.list, want)
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
	t.Fatal("the response has no such record")
	return nil
}

// A service record without an address does not invalidate the others: a drain in the same list is applied, the worker keeps the
// address that it had, one that never had any is left out, and the list is applied again when it comes complete.
func TestMissingAddressAffectsItsWorkerAlone(t *testing.T) {
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
		t.Errorf("the same list, complete: %v", d.list)
	}
	if d.sockets.current.Data(responseTo(d.query(), 6, 0)); len(d.list) != 4 {
		t.Errorf("a complete list was applied again: %v", d.list)
	}
}

// A server that numbers its lists anew is followed. Outdated lists have no effect for as long as a server that does not may be
// late, however often they come.
func TestSerialResetIsFollowed(t *testing.T) {
	for name, tt := range map[string]struct {
		between uint32 // serial of a response in the middle
		applied bool
	}{"reset": {2, true}, "late, and current once in between": {50, false}} {
		d := newTestClient(t)
		d.sockets.current.Data(responseTo(d.query(), 50, 0, 1))
		d.SetServer(d.now, "new")
		d.Tick(d.now)
		d.sockets.current.DialCompleted(nil)
		for begun := d.now; d.now < begun+serialResetAfter-time.Second; {
			serial := uint32(2)
			if d.now-begun > 8*time.Second && d.now-begun < 9*time.Second {
				serial = tt.between
			}
			if d.sockets.current.Data(responseTo(d.query(), serial, 0, 0, 0)); len(d.list) != 2 || d.endpoints.serial != 50 {
				t.Fatalf("%s: after %v the list is %v", name, d.now-begun, d.list)
			}
		}
		for begun := d.now; d.now < begun+3*time.Second; {
			d.sockets.current.Data(responseTo(d.query(), 2, 0, 0, 0))
		}
		if applied := d.endpoints.serial == 2 && len(d.list) == 3; applied != tt.applied {
			t.Errorf("%s: serial %d, list %v", name, d.endpoints.serial, d.list)
		}
	}
}

// Serial numbers are compared by RFC 1982, so that they start again after the highest.
func TestSerialNumbersWrapAround(t *testing.T) {
	d := newTestClient(t)
	for i, serial := range []uint32{1 << 30, 5 << 29, 1<<32 - 1, 0, 7} {
		list := make([]uint16, i+1)
		if d.sockets.current.Data(responseTo(d.query(), serial, list...)); d.endpoints.serial != serial || len(d.list) != i+1 {
			t.Fatalf("serial %d is current after %d came, list %v", d.endpoints.serial, serial, d.list)
		}
	}
	if d.sockets.current.Data(responseTo(d.query(), 1<<32-2, 0)); d.endpoints.serial != 7 {
		t.Errorf("an older serial was applied: %d", d.endpoints.serial)
	}
}

// A list replaces the current one if it is newer or completes it, and a lower number only once no other has come for
// serialResetAfter.
func TestEndpointListComparesSerialNumbers(t *testing.T) {
	const start = time.Hour
	for _, test := range []struct {
		name       string
		incomplete bool
		staleSince time.Duration
		serial     uint32
		want       comparison
	}{
		{"newer", false, start, 51, listNewer},
		{"same", false, start, 50, listStays},
		{"same as an incomplete one", true, start, 50, listCompletes},
		{"neither above nor below", false, start, 50 + 1<<31, listStays},
		{"first lower one", false, 0, 49, listStays},
		{"lower for a while", false, start - serialResetAfter + 1, 49, listStays},
		{"lower for long", false, start - serialResetAfter, 49, listRenumbered},
	} {
		list := endpointList{serial: 50, incomplete: test.incomplete, staleSince: test.staleSince}
		if got := list.compare(test.serial, start); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
		if stale := list.staleSince > 0; stale != (test.serial == 49 && test.want == listStays) {
			t.Errorf("%s: stale since %v", test.name, list.staleSince)
		}
	}
}
