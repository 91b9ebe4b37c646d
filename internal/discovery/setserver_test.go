package discovery

import (
	"errors"
	"testing"
	"time"
)

// SetServer polls the new server at once and keeps the list and its serial number. Late events of the socket to the
// former address have no effect, whether it was connected or still dialing.
func TestSetServerSwitchesToTheNewAddress(t *testing.T) {
	for _, connected := range []bool{true, false} { // the old socket is connected, or its dial has not completed
		d := newTestClient(t)
		if !connected {
			d.sockets.current.Closed(errors.New("refused"))
			d.Tick(d.schedule.next)
		}
		id := uint16(0)
		old := d.sockets.current
		transport := d.transports[len(d.transports)-1]
		if connected {
			id = d.query()
		}
		d.SetServer(d.now+time.Millisecond, "new")
		d.Tick(d.now + time.Millisecond)
		if transport.Closed || d.dialed[len(d.dialed)-1] != "new" || d.sockets.current == old {
			t.Fatalf("dialed %v, old closed %v", d.dialed, transport.Closed) // the old descriptor may be the last one
		}
		fresh := d.sockets.current
		old.DialCompleted(nil)
		old.Data(responseTo(id, 8, 0, 0))
		old.Closed(errors.New("late"))
		if d.sockets.current != fresh || len(d.list) != 1 || d.endpoints.serial != 3 {
			t.Fatalf("the old socket changed the list to %v", d.list)
		}
		if fresh.DialCompleted(nil); !transport.Closed {
			t.Error("the old socket is still open after the new dial has completed")
		}
		if d.schedule.next > d.now+initialBackoff {
			t.Error("the new server isn't polled soon")
		}
		fresh.Data(responseTo(d.query(), 2, 0, 0)) // outdated
		if d.endpoints.serial != 3 {
			t.Errorf("the serial number decreased to %d", d.endpoints.serial)
		}
		if fresh.Data(responseTo(d.query(), 4, 0, 0)); len(d.list) != 2 {
			t.Errorf("list %v", d.list)
		}
		dials := len(d.dialed)
		d.SetServer(d.now, "new") // a repeated signal changes nothing
		if d.Tick(d.now); d.sockets.current != fresh || len(d.dialed) != dials {
			t.Error("the same address was dialed again")
		}
	}
}

// After SetServer the old socket keeps its descriptor until the dial to the new address has completed. A second switch
// leaves no socket open.
func TestSetServerKeepsTheDescriptorUntilTheNextIsOpen(t *testing.T) {
	d := newTestClient(t)
	first := d.transports[0]
	d.SetServer(d.now, "second")
	d.Tick(d.now)
	second := d.transports[1]
	d.SetServer(d.now, "third")
	if !first.Closed || second.Closed {
		t.Fatalf("closed: %v, %v", first.Closed, second.Closed)
	}
	d.Tick(d.now)
	d.sockets.current.DialCompleted(errors.New("no descriptor"))
	if !second.Closed || d.sockets.current != nil {
		t.Fatal("after a failed dial the former socket still has the descriptor that the next dial needs")
	}
	if d.Tick(d.now + redialDelay); d.dialed[len(d.dialed)-1] != "third" || d.sockets.current == nil {
		t.Fatalf("dialed %v", d.dialed)
	}
	d.sockets.current.DialCompleted(nil)
	if d.sockets.current.Data(responseTo(d.query(), 9, 0, 0)); len(d.list) != 2 {
		t.Errorf("list %v", d.list)
	}
}
