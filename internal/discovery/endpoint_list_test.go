package discovery

import (
	"testing"
	"time"
)

// The lists of a server that has restarted its numbering are applied. Until serialResetAfter has passed, outdated lists
// have no effect, however many are received, because the server may only be late.
func TestSerialResetIsFollowed(t *testing.T) {
	for name, tt := range map[string]struct {
		midSerial uint32 // serial number of the responses between 8 and 9 seconds
		applied   bool
	}{"reset": {2, true}, "late, with one current response in between": {50, false}} {
		d := newTestClient(t)
		d.sockets.current.Data(responseTo(d.query(), 50, 0, 1))
		d.SetServer(d.now, "new")
		d.Tick(d.now)
		d.sockets.current.DialCompleted(nil)
		for start := d.now; d.now < start+serialResetAfter-time.Second; {
			serial := uint32(2)
			if d.now-start > 8*time.Second && d.now-start < 9*time.Second {
				serial = tt.midSerial
			}
			if d.sockets.current.Data(responseTo(d.query(), serial, 0, 0, 0)); len(d.list) != 2 || d.endpoints.serial != 50 {
				t.Fatalf("%s: after %v the list is %v", name, d.now-start, d.list)
			}
		}
		for start := d.now; d.now < start+3*time.Second; {
			d.sockets.current.Data(responseTo(d.query(), 2, 0, 0, 0))
		}
		if applied := d.endpoints.serial == 2 && len(d.list) == 3; applied != tt.applied {
			t.Errorf("%s: serial %d, list %v", name, d.endpoints.serial, d.list)
		}
	}
}

// Serial numbers are compared by RFC 1982, so that 0 is newer than the highest number.
func TestSerialNumbersWrapAround(t *testing.T) {
	d := newTestClient(t)
	for i, serial := range []uint32{1 << 30, 5 << 29, 1<<32 - 1, 0, 7} {
		list := make([]uint16, i+1)
		if d.sockets.current.Data(responseTo(d.query(), serial, list...)); d.endpoints.serial != serial || len(d.list) != i+1 {
			t.Fatalf("serial %d is current after a response with %d, list %v", d.endpoints.serial, serial, d.list)
		}
	}
	if d.sockets.current.Data(responseTo(d.query(), 1<<32-2, 0)); d.endpoints.serial != 7 {
		t.Errorf("an older serial was applied: %d", d.endpoints.serial)
	}
}

// A list replaces the current one if it is newer or completes it. A list with a lower number replaces it only if all
// responses have had lower numbers for serialResetAfter.
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
		{"same", false, start, 50, listIgnored},
		{"same as an incomplete one", true, start, 50, listCompletes},
		{"neither above nor below", false, start, 50 + 1<<31, listIgnored},
		{"first lower one", false, 0, 49, listIgnored},
		{"lower for a while", false, start - serialResetAfter + 1, 49, listIgnored},
		{"lower for long", false, start - serialResetAfter, 49, listRenumbered},
	} {
		list := endpointList{serial: 50, incomplete: test.incomplete, staleSince: test.staleSince}
		if got := list.compare(test.serial, start); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
		if stale := list.staleSince > 0; stale != (test.serial == 49 && test.want == listIgnored) {
			t.Errorf("%s: stale since %v", test.name, list.staleSince)
		}
	}
}
