package discovery

import (
	"encoding/binary"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"crankhold/internal/endpoint"
	"crankhold/internal/eventloop"
	"crankhold/internal/testutil"
)

// responseTo builds the response to a query, with one worker for each priority. Its names are compressed (RFC 1035,
// section 4.1.4).
func responseTo(id uint16, serial uint32, priorities ...uint16) []byte {
	b := encodeQuery(id, serviceName)
	b[2] |= 0x80
	record := func(section int, name []byte, recordType uint16, data []byte) {
		binary.BigEndian.PutUint16(b[section:], binary.BigEndian.Uint16(b[section:])+1)
		b = append(b, name...)
		b = binary.BigEndian.AppendUint16(b, recordType)
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

// testClient is a Client with fake sockets. It records the dialed addresses and the latest list.
type testClient struct {
	*Client
	t          rapid.TB
	transports []*testutil.Transport
	dialed     []string
	list       []Worker
}

// newTestClient returns a client with a connected socket and a snapshot of one worker with serial number 3.
func newTestClient(t rapid.TB) *testClient { return newTestClientWithConfig(t, Config{Seed: 1}) }

// newTestClientWithConfig is like newTestClient with a given configuration. It sets the server's address, the drain
// grace period and the functions in it.
func newTestClientWithConfig(t rapid.TB, cfg Config) *testClient {
	t.Helper()
	d := &testClient{t: t}
	cfg.Addr = "old"
	cfg.DrainGracePeriod = time.Second
	cfg.Dial = func(addr string, _ eventloop.DialHandler) Transport {
		transport := &testutil.Transport{}
		d.transports = append(d.transports, transport)
		d.dialed = append(d.dialed, addr)
		return transport
	}
	cfg.ListChanged = func(list []Worker) { d.list = list }
	d.Client = New(cfg)
	var snapshot Snapshot
	snapshot.Serial = 3
	snapshot.Changes = make([]event, 1)
	snapshot.Changes[0].List.Complete = true
	snapshot.Changes[0].List.Members = []member{{Name: "s-9", Addr: "10.1.0.9:10080", State: "Ready", Weight: 4}}
	if err := d.LoadSnapshot(snapshot); err != nil {
		t.Fatal(err)
	}
	d.Tick(time.Hour)
	d.sockets.current.DialCompleted(nil)
	return d
}

// query makes the client send its next query and returns the query's id.
func (d *testClient) query() uint16 {
	d.t.Helper()
	transport := d.transports[len(d.transports)-1]
	transport.Written.Reset()
	d.Tick(d.schedule.next)
	b := transport.Written.Bytes()
	if len(b) < 2 || string(b) != string(encodeQuery(binary.BigEndian.Uint16(b), serviceName)) {
		d.t.Fatalf("sent %x in place of a query", b)
	}
	return binary.BigEndian.Uint16(b)
}

// tcp4Addrs returns a list of one IPv4 address.
func tcp4Addrs(addr string) []endpoint.Addr {
	return []endpoint.Addr{{Network: endpoint.TCP4, Addr: addr}}
}
