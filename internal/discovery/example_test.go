package discovery

import (
	"encoding/binary"
	"fmt"
	"time"

	"crankhold/internal/eventloop"
	"crankhold/internal/testutil"
)

// A client first reports the list of the configuration, and then each newer list that the discovery server sends.
func Example() {
	// In the program the transport is a UDP socket of the event loop. Here it records the bytes that are sent.
	transport := &testutil.Transport{}
	var server eventloop.DialHandler // receives the events of the transport
	dial := func(addr string, handler eventloop.DialHandler) Transport {
		fmt.Println("dial", addr)
		server = handler
		return transport
	}
	changed := func(list []Worker) {
		for _, worker := range list {
			fmt.Println("  ", worker.Name, worker.Addrs)
		}
	}
	client := New(Config{
		Addr:             "127.0.0.1:53",
		Seed:             1,
		DrainGracePeriod: time.Second,
		Dial:             dial,
		ListChanged:      changed,
	})

	fmt.Println("snapshot")
	snapshot := Snapshot{Changes: make([]event, 1)}
	snapshot.Changes[0].List.Complete = true
	snapshot.Changes[0].List.Members = []member{{Name: "s-9", Addr: "10.1.0.9:10080", State: "Ready"}}
	if err := client.LoadSnapshot(snapshot); err != nil {
		fmt.Println(err)
	}

	// The first Tick dials. After the dial has completed, the second Tick sends a query.
	now := time.Hour
	client.Tick(now)
	server.DialCompleted(nil)
	client.Tick(now + time.Second)

	fmt.Println("response")
	queryID := binary.BigEndian.Uint16(transport.Written.Bytes())
	server.Data(responseTo(queryID, 4, 0, 0)) // serial number 4, two workers that are ready
	fmt.Println(client.QueriesSent, "query,", client.ResponsesRead, "response")

	// Output:
	// snapshot
	//    s-9 [10.1.0.9:10080]
	// dial 127.0.0.1:53
	// response
	//    s-0 [10.1.0.0:10080]
	//    s-1 [10.1.0.1:10080]
	// 1 query, 1 response
}
