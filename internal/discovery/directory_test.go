package discovery

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crankhold/internal/endpoint"
	"crankhold/internal/eventloop"
	"crankhold/internal/testutil"
	"crankhold/policy"
)

// answer builds what the directory answers to query id; its names are compressed as RFC 1035 has it.
func answer(id uint16, serial uint32, priorities ...uint16) []byte {
	b := query(id, serviceName)
	b[2] |= 0x80
	record := func(section int, name []byte, typ uint16, data []byte) {
		binary.BigEndian.PutUint16(b[section:], binary.BigEndian.Uint16(b[section:])+1)
		b = append(b, name...)
		b = binary.BigEndian.AppendUint16(b, typ)
		b = append(b, 0, classIN, 0, 0, 0, 0)
		b = append(binary.BigEndian.AppendUint16(b, uint16(len(data))), data...)
	}
	service := []byte{0xc0, 12}
	label := func(s string) []byte { return append([]byte{byte(len(s))}, s...) }
	var targets [][]byte
	for i, p := range priorities {
		data := binary.BigEndian.AppendUint16(nil, p)
		data = append(data, 0, 40, 0x27, 0x60) // weight 40, port 10080
		target := len(b) + len(service) + 10 + len(data)
		data = append(data, label(fmt.Sprintf("s-%d", i))...)
		data = append(append(data, label("east")...), label("hosts")...)
		record(6, service, typeSRV, append(data, 0))
		targets = append(targets, binary.BigEndian.AppendUint16(nil, 0xc000|uint16(target)))
	}
	soa := append([]byte{0xc0, 12, 0xc0, 12}, binary.BigEndian.AppendUint32(nil, serial)...)
	record(8, service, typeSOA, append(soa, make([]byte, 16)...))
	for i, name := range targets {
		record(10, name, typeA, []byte{10, 1, 0, byte(i)})
		record(10, name, typeTXT, append(label("kind=std"), append(label("cell=2"), label("started=5")...)...))
	}
	return b
}

// desk stands in for the sockets to the directory and keeps the list.
type desk struct {
	*Client
	t     rapid.TB
	lines []*testutil.Transport
	addrs []string
	list  []Worker
}

func newDesk(t rapid.TB) *desk { return newSeededDesk(t, 1) }

func newSeededDesk(t rapid.TB, seed uint64) *desk {
	d := &desk{t: t}
	d.Client = New("old", seed, time.Second, func(addr string, _ eventloop.DialHandler) Transport {
		d.lines, d.addrs = append(d.lines, &testutil.Transport{}), append(d.addrs, addr)
		return d.lines[len(d.lines)-1]
	}, func(w []Worker) { d.list = w })
	var known Snapshot
	known.Offset = 3
	known.Batch = make([]event, 1)
	known.Batch[0].Topology.Complete = true
	known.Batch[0].Topology.Members = []member{{ID: "s-9", HostPort: "10.1.0.9:10080", Phase: "Ready", Size: 4}}
	if err := d.LoadSnapshot(known); err != nil {
		t.Fatal(err)
	}
	d.Tick(time.Hour)
	d.sock.DialCompleted(nil)
	return d
}

// ask has the client ask, and returns the query's id.
func (d *desk) ask() uint16 {
	l := d.lines[len(d.lines)-1]
	l.Wrote.Reset()
	d.Tick(d.next)
	b := l.Wrote.Bytes()
	if len(b) < 2 || string(b) != string(query(binary.BigEndian.Uint16(b), serviceName)) {
		d.t.Fatalf("asked %x", b)
	}
	return binary.BigEndian.Uint16(b)
}

// at is one address of IPv4.
func at(addr string) []endpoint.Addr { return []endpoint.Addr{{Network: endpoint.TCP4, Addr: addr}} }

func TestListIsFollowed(t *testing.T) {
	d := newDesk(t)
	if len(d.list) != 1 {
		t.Fatalf("list %v", d.list)
	}
	d.sock.Data(answer(d.ask(), 4, 0, 1))
	want := []Worker{{Name: "s-0", Addrs: at("10.1.0.0:10080"), Zone: "east", Kind: "std", State: policy.Ready, Weight: 4, Cell: 2, Started: 5},
		{Name: "s-1", Addrs: at("10.1.0.1:10080"), Zone: "east", Kind: "std", State: policy.Draining, Weight: 4, Cell: 2, Started: 5}}
	if fmt.Sprint(d.list) != fmt.Sprint(want) {
		t.Fatalf("list %v, want %v", d.list, want)
	}
	// Whatever is wrong with an answer, it changes nothing.
	d.sock.Data(answer(d.ask(), 3)) // older than what is held
	id := d.ask()
	d.sock.Data(answer(id+1, 9, 0)) // not to a query of ours
	answered := d.ask()
	d.sock.Data(answer(answered, 4, 0, 1))
	d.sock.Data(answer(answered, 9, 0)) // to one that has been answered
	for name, spoil := range map[string]func(b []byte) []byte{
		"truncated": func(b []byte) []byte { b[2] |= 2; return b },
		"failed":    func(b []byte) []byte { b[3] |= 2; return b },
		"a query":   func(b []byte) []byte { b[2] &^= 0x80; return b },
		"other":     func(b []byte) []byte { b[13] = 'x'; return b },
	} {
		if d.sock.Data(spoil(answer(d.ask(), 9, 0))); fmt.Sprint(d.list) != fmt.Sprint(want) {
			t.Errorf("%s: list became %v", name, d.list)
		}
	}
	whole := answer(0, 9, 0)
	for cut := range whole {
		id := d.ask()
		b := answer(id, 9, 0)[:cut]
		if d.sock.Data(b); fmt.Sprint(d.list) != fmt.Sprint(want) {
			t.Fatalf("cut at %d of %d: list became %v", cut, len(whole), d.list)
		}
	}
	late := d.ask()
	for range 3 { // an answer that comes after further queries counts all the same
		d.ask()
	}
	if d.sock.Data(answer(late, 5, 0)); len(d.list) != 1 {
		t.Errorf("after a late answer the list is %v", d.list)
	}
	if d.sock.Closed(errors.New("refused")); d.sock != nil || d.next > d.now+redialAfter {
		t.Error("a lost socket isn't opened again at once")
	}
	d.Tick(d.next)
	d.sock.DialCompleted(nil)
	if d.sock.Data(answer(d.ask(), 6, 0, 0)); len(d.list) != 2 {
		t.Errorf("after a new socket the list is %v", d.list)
	}
}

// Guards a reload: the new directory is asked at once, by its address, with the list and its number
// kept; nothing that comes late on a socket to the old one counts, in whatever order dials and closes end.
func TestDirectoryMoves(t *testing.T) {
	for _, up := range []bool{true, false} { // the old socket is open, or still being dialled
		d := newDesk(t)
		if !up {
			d.sock.Closed(errors.New("refused"))
			d.Tick(d.next)
		}
		id, old, line := uint16(0), d.sock, d.lines[len(d.lines)-1]
		if up {
			id = d.ask()
		}
		d.SetServer(d.now+time.Millisecond, "new")
		d.Tick(d.now + time.Millisecond)
		if line.HasClosed || d.addrs[len(d.addrs)-1] != "new" || d.sock == old {
			t.Fatalf("dialled %v, old closed %v", d.addrs, line.HasClosed) // its descriptor may be the last
		}
		fresh := d.sock
		old.DialCompleted(nil)
		old.Data(answer(id, 8, 0, 0))
		old.Closed(errors.New("late"))
		if d.sock != fresh || len(d.list) != 1 || d.serial != 3 {
			t.Fatalf("the old socket changed the list to %v", d.list)
		}
		if fresh.DialCompleted(nil); !line.HasClosed {
			t.Error("the old socket stays open beside the new one")
		}
		if d.next > d.now+askAgain {
			t.Error("the new directory isn't asked soon")
		}
		fresh.Data(answer(d.ask(), 2, 0, 0)) // older than what is held
		if d.serial != 3 {
			t.Errorf("the number fell to %d", d.serial)
		}
		if fresh.Data(answer(d.ask(), 4, 0, 0)); len(d.list) != 2 {
			t.Errorf("list %v", d.list)
		}
		dials := len(d.addrs)
		d.SetServer(d.now, "new") // a repeated signal changes nothing
		if d.Tick(d.now); d.sock != fresh || len(d.addrs) != dials {
			t.Error("the same address was dialled again")
		}
	}
}

// Guards the price of list queries, which all routers pay to one directory, and the time in which an event is heard
// of: three tries before 2.5 s are over, when nothing new may go to a worker that drains, however queries are lost.
func TestQueriesAreFewAndSpreadAndThreeHearOfAnEvent(t *testing.T) {
	run := func(seed uint64, until time.Duration, answered func(n int) (serial uint32, ok bool)) (at []time.Duration) {
		d := newSeededDesk(t, seed)
		start := d.now
		for now := d.now; now < start+until; now += time.Millisecond {
			l := d.lines[len(d.lines)-1]
			l.Wrote.Reset()
			d.Tick(now)
			if b := l.Wrote.Bytes(); len(b) > 0 {
				at = append(at, now-start)
				if serial, ok := answered(len(at)); ok {
					d.sock.Data(answer(binary.BigEndian.Uint16(b), serial, 0))
				}
			}
		}
		return at
	}
	first := map[time.Duration]int{}
	for seed := range uint64(40) {
		well := run(seed, 10*time.Second, func(int) (uint32, bool) { return 3, true })
		if len(well) > 18 {
			t.Fatalf("%d queries in 10 s though each was answered", len(well))
		}
		first[well[0]]++
		if well[0] > askAgain {
			t.Fatalf("the first query came after %v", well[0])
		}
		for i := 3; i < len(well); i++ {
			if gap := well[i] - well[i-3]; gap > 2*time.Second+500*time.Millisecond-wayBack {
				t.Fatalf("three queries took %v", gap)
			}
		}
		// What is lost, or older than what is held, is asked for again soon, and then ever more slowly.
		for name, spoil := range map[string]func(int) (uint32, bool){
			"lost": func(int) (uint32, bool) { return 0, false }, "old": func(int) (uint32, bool) { return 2, true }} {
			bad := run(seed, 10*time.Second, spoil)
			if gap := bad[1] - bad[0]; gap > askAgain {
				t.Fatalf("%s: asked again after %v", name, gap)
			}
			if len(bad) > 20 {
				t.Fatalf("%s: %d queries in 10 s", name, len(bad))
			}
		}
	}
	if len(first) < 20 {
		t.Fatalf("40 routers send their first query at %d different times", len(first))
	}
}

func TestAnyBytesAreSurvived(t *testing.T) {
	loops := append(answer(1, 9)[:12], 0xc0, 12, 0, 1, 0, 1) // a name that points at itself
	if _, _, err := parse(loops); err == nil {
		t.Error("a loop of pointers was read")
	}
	if _, _, err := name([]byte(strings.Repeat("\x3f"+strings.Repeat("x", 63), 5)+"\x00"), 0); err == nil {
		t.Error("a name over 255 bytes was read")
	}
	rapid.Check(t, func(t *rapid.T) {
		b := answer(1, 9, 0, 1, 0)
		for range rapid.IntRange(1, 5).Draw(t, "changes") {
			b[rapid.IntRange(2, len(b)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "to")
		}
		_, r, err := parse(b[:rapid.IntRange(0, len(b)).Draw(t, "cut")])
		if err == nil && len(r.srv) > 3 {
			t.Fatalf("read %d services", len(r.srv))
		}
	})
}

// A worker has all addresses of its target: several A and AAAA records, those that nobody can connect to left out,
// and a Unix socket where that extension is on.
func TestWorkerHasAllItsAddresses(t *testing.T) {
	for _, on := range []bool{false, true} {
		d := newDesk(t)
		d.UnixInTXT = on
		b := answer(d.ask(), 4, 0)
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
		d.sock.Data(b)
		want := "[10.1.0.0:10080 10.1.0.77:10080 [fd00::1]:10080]"
		if on {
			want = "[10.1.0.0:10080 10.1.0.77:10080 [fd00::1]:10080 unix:/run/w.sock]"
		}
		if len(d.list) != 1 || fmt.Sprint(d.list[0].Addrs) != want {
			t.Errorf("extension %v: %v, want addresses %s", on, d.list, want)
		}
	}
}
