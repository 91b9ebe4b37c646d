package endpoint_test

import (
	"fmt"
	"time"

	"crankhold/internal/endpoint"
)

// A worker has three addresses, which are dialed in turn to establish a connection. The next address is dialed when a
// dial has been in progress for 250 ms, or at once when a dial fails.
func ExampleDialRace() {
	addresses := endpoint.NewAddressSet(1)
	addresses.Update(0, []endpoint.Addr{
		{Network: endpoint.TCP4, Addr: "192.0.2.1:80"},
		{Network: endpoint.TCP6, Addr: "[2001:db8::1]:80"},
		{Network: endpoint.Unix, Addr: "/run/worker.sock"},
	})
	const dialTimeout, budget = time.Second, 3 * time.Second
	race := endpoint.NewDialRace(addresses.Candidates(), dialTimeout, budget)

	now := time.Duration(0)
	local, _ := race.Next(now, true)
	fmt.Println(now, "dial", local)

	now = 10 * time.Millisecond
	addresses.RecordFailure(now, local)
	fmt.Println(now, local, "failed, race lost:", race.DialFailed())
	ipv6, _ := race.Next(now, true)
	fmt.Println(now, "dial", ipv6)

	now = 100 * time.Millisecond
	_, due := race.Next(now, true)
	fmt.Println(now, "another dial due:", due)

	now = 260 * time.Millisecond
	ipv4, _ := race.Next(now, true)
	fmt.Println(now, "dial", ipv4, "beside", ipv6)

	now = 300 * time.Millisecond
	addresses.RecordSuccess(now, ipv4)
	fmt.Println(now, ipv4, "is first:", race.DialSucceeded())
	fmt.Println("candidates of the next race:", addresses.Candidates())
	// Output:
	// 0s dial unix:/run/worker.sock
	// 10ms unix:/run/worker.sock failed, race lost: false
	// 10ms dial [2001:db8::1]:80
	// 100ms another dial due: false
	// 260ms dial 192.0.2.1:80 beside [2001:db8::1]:80
	// 300ms 192.0.2.1:80 is first: true
	// candidates of the next race: [[2001:db8::1]:80 192.0.2.1:80]
}
