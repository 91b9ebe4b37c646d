package discovery

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"

	"crankhold/internal/endpoint"
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

// A cell that is missing, can't be read or can't be a cell isn't known, rather than the first one. The same holds for
// the zone and the cell of a name that two entries have.
func TestGroupsThatAreNotToldAreUnknown(t *testing.T) {
	var worker Worker
	joiner := recordJoiner{}
	for _, text := range []string{"", "cell", "cell=", "cell=two", "cell=-1", "cell=65536", "cell=9223372036854775808"} {
		worker = Worker{}
		joiner.applyText(&worker, text)
		if worker.Cell.IsKnown() {
			t.Errorf("text %q: cell %v", text, worker.Cell)
		}
	}
	if joiner.applyText(&worker, "cell=0"); worker.Cell != policy.KnownGroup(0) {
		t.Errorf("cell %v, want the first one", worker.Cell)
	}
	host := []netip.Addr{netip.MustParseAddr("10.1.0.1")}
	r := response{
		services:  []serviceRecord{{0, 10, 80, "s-1.east.hosts"}, {0, 10, 80, "S-1.West.hosts"}, {0, 10, 80, "s-2.east.hosts"}, {0, 10, 80, "s-2.EAST.hosts"}},
		addresses: map[endpoint.NameKey][]netip.Addr{"s-1.east.hosts": host, "s-1.west.hosts": host, "s-2.east.hosts": host},
		texts:     map[endpoint.NameKey][]string{"s-1.east.hosts": {"cell=1"}, "s-1.west.hosts": {"cell=2"}, "s-2.east.hosts": {"cell=3"}},
	}
	workers, err := joiner.workers(r, nil)
	if err != nil || len(workers) != 2 {
		t.Fatalf("workers %v, %v", workers, err)
	}
	if w := workers["s-1"]; w.Zone != "" || w.Cell.IsKnown() {
		t.Errorf("worker of two zones: %+v", w)
	}
	if w := workers["s-2"]; !endpoint.SameName(w.Zone, "east") || w.Cell != policy.KnownGroup(3) {
		t.Errorf("worker with two entries in one zone: %+v", w)
	}
}

// An entry of the configuration without a cell has none.
func TestSnapshotWithoutACell(t *testing.T) {
	var snapshot Snapshot
	text := `{"offset":1,"batch":[{"offset":1,"topology":{"complete":true,"members":[
		{"id":"s-1","host_port":"10.1.0.1:80","locality":"east","phase":"Ready"},
		{"id":"S-2","host_port":"10.1.0.2:80","locality":"east","phase":"Ready","cell":0}]}},
		{"offset":2,"topology":{"members":[{"id":"s-2","host_port":"10.1.0.2:80","locality":"East","phase":"Ready","cell":4}]}}]}`
	if err := json.Unmarshal([]byte(text), &snapshot); err != nil {
		t.Fatal(err)
	}
	l := endpointList{workers: map[endpoint.NameKey]Worker{}}
	if err := l.applySnapshot(snapshot); err != nil {
		t.Fatal(err)
	}
	if len(l.workers) != 2 || l.workers["s-1"].Cell.IsKnown() || l.workers["s-2"].Cell != policy.KnownGroup(4) || l.workers["s-2"].Zone != "East" {
		t.Errorf("workers %+v", l.workers)
	}
}

// Members of one change with one name that disagree on their zone or cell leave it unknown, and a later change tells
// it again. Guards against the last of them deciding which of two processes the name means.
func TestSnapshotMembersThatDisagreeHaveNoGroup(t *testing.T) {
	east, west := 1, 2
	entry := func(name, zone string, cell *int, state string) member {
		return member{Name: name, Addr: "10.1.0.1:80", Zone: zone, Cell: cell, State: state}
	}
	l := endpointList{workers: map[endpoint.NameKey]Worker{}}
	apply := func(members ...member) Worker {
		t.Helper()
		if err := l.applyMembers(members); err != nil {
			t.Fatal(err)
		}
		return l.workers["s-1"]
	}
	for _, members := range [][]member{
		{entry("s-1", "east", &east, "Ready"), entry("S-1", "west", &west, "Ready")},
		{entry("s-1", "east", &east, "Ready"), entry("s-1", "west", nil, "Ready"), entry("s-1", "west", &west, "Ready")},
	} {
		if w := apply(members...); w.Zone != "" || w.Cell.IsKnown() {
			t.Errorf("members %v: worker %+v", members, w)
		}
	}
	if w := apply(entry("s-1", "west", &west, "Ready")); w.Zone != "west" || w.Cell != policy.KnownGroup(west) {
		t.Errorf("after a later change: %+v", w)
	}
	if w := apply(entry("s-1", "west", &west, "Gone"), entry("s-1", "east", &east, "Ready")); w.Zone != "east" || w.Cell != policy.KnownGroup(east) {
		t.Errorf("after it had gone: %+v", w)
	}
}
