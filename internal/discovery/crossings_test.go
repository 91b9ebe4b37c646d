package discovery

import (
	"encoding/binary"
	"errors"
	"testing"
	"time"

	"crankhold/policy"
)

// nameless takes the address records of one worker out of an answer, by giving them a type that nobody asks for.
func nameless(t *testing.T, b []byte, host byte) []byte {
	t.Helper()
	record := []byte{0, typeA, 0, classIN, 0, 0, 0, 0, 0, 4, 10, 1, 0, host}
	for i := range b {
		if i+len(record) <= len(b) && string(b[i:i+len(record)]) == string(record) {
			binary.BigEndian.PutUint16(b[i:], 99)
			return b
		}
	}
	t.Fatal("the answer has no such record")
	return nil
}

// Guards the news of all other workers against a record that can't be used: a drain in the same list is heard of, the
// worker keeps the address that it had, one that never had any is left out, and the list is read again where the same
// serial comes whole.
func TestARecordWithoutAnAddressCostsNoOtherItsNews(t *testing.T) {
	d := newDesk(t)
	d.sock.Data(answer(d.ask(), 4, 0, 0))
	d.sock.Data(nameless(t, answer(d.ask(), 5, 0, 1, 0), 0)) // s-0 has lost its address, s-1 drains, s-2 is new
	if len(d.list) != 3 || d.list[1].State != policy.Draining || d.list[0].Addrs[0].Addr != "10.1.0.0:10080" {
		t.Fatalf("list %v", d.list)
	}
	d.sock.Data(nameless(t, answer(d.ask(), 6, 0, 1, 0, 0), 3)) // s-3 never had one
	if len(d.list) != 3 || d.serial != 6 {
		t.Fatalf("serial %d, list %v", d.serial, d.list)
	}
	heard := d.ResponsesRead
	d.sock.Data(nameless(t, answer(d.ask(), 6, 0, 1, 0, 0), 3))
	if len(d.list) != 3 || d.ResponsesRead != heard {
		t.Errorf("the same spoilt list: heard %d, list %v", d.ResponsesRead-heard, d.list)
	}
	if d.sock.Data(answer(d.ask(), 6, 0, 1, 0, 0)); len(d.list) != 4 {
		t.Errorf("the same list, whole: %v", d.list)
	}
	if d.sock.Data(answer(d.ask(), 6, 0)); len(d.list) != 4 {
		t.Errorf("a list that was read whole was read again: %v", d.list)
	}
}

// Guards a router against a directory that counts anew: lists older than what is held say nothing for as long as an
// honest directory may be late, however often they come; then the numbering is a new one.
func TestADirectoryThatCountsAnewIsFollowed(t *testing.T) {
	for name, tt := range map[string]struct {
		between uint32 // serial of an answer in the middle
		taken   bool
	}{"counts anew": {2, true}, "is late, and current once in between": {50, false}} {
		d := newDesk(t)
		d.sock.Data(answer(d.ask(), 50, 0, 1))
		d.SetServer(d.now, "new")
		d.Tick(d.now)
		d.sock.DialCompleted(nil)
		for begun := d.now; d.now < begun+renumberAfter-time.Second; {
			serial := uint32(2)
			if d.now-begun > 8*time.Second && d.now-begun < 9*time.Second {
				serial = tt.between
			}
			if d.sock.Data(answer(d.ask(), serial, 0, 0, 0)); len(d.list) != 2 || d.serial != 50 {
				t.Fatalf("%s: after %v the list is %v", name, d.now-begun, d.list)
			}
		}
		for begun := d.now; d.now < begun+3*time.Second; {
			d.sock.Data(answer(d.ask(), 2, 0, 0, 0))
		}
		if taken := d.serial == 2 && len(d.list) == 3; taken != tt.taken {
			t.Errorf("%s: serial %d, list %v", name, d.serial, d.list)
		}
	}
}

// Serials are compared as RFC 1982 has it.
func TestSerialsStartAgainBehindTheHighest(t *testing.T) {
	d := newDesk(t)
	for i, serial := range []uint32{1 << 30, 5 << 29, 1<<32 - 1, 0, 7} {
		list := make([]uint16, i+1)
		if d.sock.Data(answer(d.ask(), serial, list...)); d.serial != serial || len(d.list) != i+1 {
			t.Fatalf("serial %d is held after %d came, list %v", d.serial, serial, d.list)
		}
	}
	if d.sock.Data(answer(d.ask(), 1<<32-2, 0)); d.serial != 7 {
		t.Errorf("an older serial was taken: %d", d.serial)
	}
}

// Guards the one descriptor that the directory has: after a move the old socket is closed only when the new one has
// been opened, or has failed, and a further move leaves none behind.
func TestAMoveKeepsItsDescriptorUntilTheNextIsOpen(t *testing.T) {
	d := newDesk(t)
	first := d.lines[0]
	d.SetServer(d.now, "second")
	d.Tick(d.now)
	second := d.lines[1]
	d.SetServer(d.now, "third")
	if !first.HasClosed || second.HasClosed {
		t.Fatalf("closed: %v, %v", first.HasClosed, second.HasClosed)
	}
	d.Tick(d.now)
	d.sock.DialCompleted(errors.New("no descriptor"))
	if !second.HasClosed || d.sock != nil {
		t.Fatal("a dial that failed kept the descriptor that it needs")
	}
	if d.Tick(d.now + redialAfter); d.addrs[len(d.addrs)-1] != "third" || d.sock == nil {
		t.Fatalf("dialled %v", d.addrs)
	}
	d.sock.DialCompleted(nil)
	if d.sock.Data(answer(d.ask(), 9, 0, 0)); len(d.list) != 2 {
		t.Errorf("list %v", d.list)
	}
}
