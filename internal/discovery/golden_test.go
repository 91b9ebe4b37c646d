package discovery

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"reflect"
	"testing"

	"crankhold/internal/endpoint"
	"crankhold/internal/golden"
	"crankhold/policy"
)

// The responses in testdata were written by hand from RFC 1035 and RFC 2782, so that the parser is not tested with
// messages of this package's encoder.
const (
	goldenResponses = "testdata/answers.txt"
	goldenQueries   = "testdata/queries.txt"

	goldenID = 0x1234 // of all golden messages
)

// withID returns a copy of a message with another id.
func withID(message []byte, id uint16) []byte {
	out := bytes.Clone(message)
	binary.BigEndian.PutUint16(out, id)
	return out
}

// The query for the endpoint list equals the golden file. A client chooses the id at random, so the test replaces the
// id before the comparison.
func TestGoldenQueries(t *testing.T) {
	d := newTestClient(t)
	connection := d.transports[0]
	connection.Written.Reset()
	d.Tick(d.schedule.next)
	sent := connection.Written.Bytes()
	if len(sent) < 2 || d.sockets.current.pending[0] != binary.BigEndian.Uint16(sent) {
		t.Fatalf("sent %x with %x pending", sent, d.sockets.current.pending)
	}
	golden.CompareMessages(t, goldenQueries, []golden.Message{
		{Label: "query with a fixed id", Bytes: encodeQuery(goldenID, serviceName)},
		{Label: "query of a client, its random id replaced", Bytes: withID(sent, goldenID)},
	})
}

// addresses returns the decoded address records of one owner.
func addresses(owner endpoint.NameKey, texts ...string) map[endpoint.NameKey][]netip.Addr {
	records := map[endpoint.NameKey][]netip.Addr{}
	for _, text := range texts {
		records[owner] = append(records[owner], netip.MustParseAddr(text))
	}
	return records
}

// Each form of a response is parsed, and its records are combined into workers. All fields of the records and the
// workers are compared with the expected ones.
func TestGoldenResponsesAreParsed(t *testing.T) {
	const target = "s-0.east.hosts"
	noTexts := map[endpoint.NameKey][]string{}
	service := serviceRecord{priority: 0, weight: 40, port: 10080, target: target}
	plain := Worker{Name: "s-0", Addrs: tcp4Addrs("10.1.0.0:10080"), Zone: "east", State: policy.Ready, Weight: 4}
	mixedService := service // names are compared without case, and keep their spelling
	mixedService.target = "S-0.East.Hosts"
	mixed := plain
	mixed.Name = "S-0"
	mixed.Zone = "East"
	described := plain
	described.Kind = "std"
	described.Cell = policy.KnownGroup(2)
	described.Started = 1700000000123
	compressed := plain
	compressed.Kind = "std"
	severalTexts := plain
	severalTexts.Kind = "a=b"
	severalTexts.Cell = policy.KnownGroup(7)
	severalTexts.Started = -5
	severalAddresses := plain
	severalAddresses.Addrs = []endpoint.Addr{{Network: endpoint.TCP4, Addr: "10.1.0.0:10080"}, {Network: endpoint.TCP4, Addr: "10.1.0.77:10080"},
		{Network: endpoint.TCP6, Addr: "[fd00::1]:10080"}}
	withUnix := plain
	withUnix.Addrs = []endpoint.Addr{{Network: endpoint.TCP4, Addr: "10.1.0.0:10080"}, {Network: endpoint.Unix, Addr: "/run/w.sock"}}
	draining := Worker{Name: "s-1", Addrs: tcp4Addrs("10.1.0.1:10081"), Zone: "west", Kind: "big", State: policy.Draining, Weight: 0.5}
	second := Worker{Name: "s-1", Addrs: tcp4Addrs("10.1.0.1:10080"), Zone: "east", State: policy.Ready, Weight: 4}
	highest := Worker{Name: "s-0", Addrs: tcp4Addrs("10.1.0.0:65535"), Zone: "east", State: policy.Draining, Weight: 6553.5}
	bothAddresses := addresses(target, "10.1.0.0")
	bothAddresses["s-1.west.hosts"] = []netip.Addr{netip.MustParseAddr("10.1.0.1")}
	unknownOwnerAddresses := addresses(target, "10.1.0.0")
	unknownOwnerAddresses["s-7.east.hosts"] = []netip.Addr{netip.MustParseAddr("10.1.0.7")}
	unixTexts := map[endpoint.NameKey][]string{target: {"unix=/run/w.sock"}}

	for _, test := range []struct {
		label      string
		unixInTXT  bool
		want       response
		workers    []Worker
		incomplete bool
	}{
		{"list without workers", false, response{serial: 4, addresses: addresses(""), texts: noTexts}, []Worker{}, false},
		{"one worker", false, response{serial: 4, services: []serviceRecord{service}, addresses: addresses(target, "10.1.0.0"),
			texts: map[endpoint.NameKey][]string{target: {"kind=std", "cell=2", "started=1700000000123"}}}, []Worker{described}, false},
		{"one worker with compressed names", false, response{serial: 4, services: []serviceRecord{{0, 40, 10080, "s-0.east.pool.lan"}},
			addresses: addresses("s-0.east.pool.lan", "10.1.0.0"), texts: map[endpoint.NameKey][]string{"s-0.east.pool.lan": {"kind=std"}}},
			[]Worker{compressed}, false},
		{"one worker ready and one draining", false, response{serial: 4, services: []serviceRecord{service, {1, 5, 10081, "s-1.west.hosts"}},
			addresses: bothAddresses, texts: map[endpoint.NameKey][]string{"s-1.west.hosts": {"kind=big"}}}, []Worker{plain, draining}, false},
		{"names in mixed case", false, response{serial: 4, services: []serviceRecord{mixedService}, addresses: addresses(target, "10.1.0.0"), texts: noTexts},
			[]Worker{mixed}, false},
		{"several addresses of one worker", false, response{serial: 4, services: []serviceRecord{service},
			addresses: addresses(target, "10.1.0.0", "10.1.0.77", "fd00::1", "ff02::1"), texts: noTexts}, []Worker{severalAddresses}, false},
		{"Unix socket in a TXT record", true, response{serial: 4, services: []serviceRecord{service}, addresses: addresses(target, "10.1.0.0"), texts: unixTexts},
			[]Worker{withUnix}, false},
		{"Unix socket in a TXT record", false, response{serial: 4, services: []serviceRecord{service}, addresses: addresses(target, "10.1.0.0"), texts: unixTexts},
			[]Worker{plain}, false},
		{"several TXT records with unknown and malformed texts", false, response{serial: 4, services: []serviceRecord{service},
			addresses: addresses(target, "10.1.0.0"), texts: map[endpoint.NameKey][]string{target: {"kind=std", "color=red", "", "cell=two", "started=-5",
				"cell=7", "kind=a=b"}}}, []Worker{severalTexts}, false},
		{"records of unknown types and owners", false, response{serial: 4, services: []serviceRecord{service}, addresses: unknownOwnerAddresses, texts: noTexts},
			[]Worker{plain}, false},
		{"worker without an address", false, response{serial: 4, services: []serviceRecord{service, {0, 40, 10080, "s-1.east.hosts"}},
			addresses: addresses("s-1.east.hosts", "10.1.0.1"), texts: noTexts}, []Worker{second}, true},
		{"highest weight, port and serial", false, response{serial: 1<<31 - 1, services: []serviceRecord{{65535, 65535, 65535, target}},
			addresses: addresses(target, "10.1.0.0"), texts: noTexts}, []Worker{highest}, false},
		{"answer without a question", false, response{serial: 4, services: []serviceRecord{service}, addresses: addresses(target, "10.1.0.0"), texts: noTexts},
			[]Worker{plain}, false},
	} {
		t.Run(test.label, func(t *testing.T) {
			message := golden.FindMessage(t, goldenResponses, test.label)
			id, got, err := parseResponse(message)
			if err != nil || id != goldenID || !reflect.DeepEqual(got, test.want) {
				t.Errorf("decoded %x %+v, %v, want %+v", id, got, err, test.want)
			}
			d := newTestClientWithConfig(t, Config{UnixInTXT: test.unixInTXT})
			d.sockets.current.Data(withID(message, d.query()))
			if !reflect.DeepEqual(d.list, test.workers) || d.endpoints.serial != test.want.serial || d.endpoints.incomplete != test.incomplete {
				t.Errorf("serial %d, incomplete %v, list %+v, want %+v", d.endpoints.serial, d.endpoints.incomplete, d.list, test.workers)
			}
		})
	}
}

// An invalid response is an error and changes nothing.
func TestGoldenResponsesThatAreRejected(t *testing.T) {
	for _, label := range []string{
		"query in place of an answer",
		"truncated answer",
		"answer with a failure code",
		"answer without a serial",
		"answer to a question for another name",
		"answer to a question of another type",
		"answer that ends within its last record",
		"header only, with a record announced",
		"header cut short",
	} {
		message := golden.FindMessage(t, goldenResponses, label)
		if _, _, err := parseResponse(message); err == nil {
			t.Errorf("%s: no error", label)
		}
		d := newTestClient(t)
		before, read := d.list, d.ResponsesRead
		d.sockets.current.Data(withID(message, d.query()))
		if !reflect.DeepEqual(d.list, before) || d.endpoints.serial != 3 || d.ResponsesRead != read {
			t.Errorf("%s: serial %d, read %d, list %+v", label, d.endpoints.serial, d.ResponsesRead-read, d.list)
		}
	}
}
