package workerclient_test

import (
	"bytes"
	"fmt"
	"time"

	"crankhold/internal/endpoint"
	"crankhold/internal/eventloop"
	"crankhold/internal/router"
	"crankhold/internal/workerclient"
	"crankhold/policy"
)

// printTransport is a connection that prints what is written to it.
type printTransport struct{ handler eventloop.DialHandler }

func (t *printTransport) Write(buffers ...[]byte) {
	fmt.Printf("%q\n", bytes.Join(buffers, nil))
}
func (t *printTransport) Close()           { fmt.Println("closed") }
func (t *printTransport) UnsentBytes() int { return 0 }

// printResults prints the results of commands.
type printResults struct{}

func (printResults) AttemptCompleted(a router.Attempt, r router.AttemptResult) {
	fmt.Printf("attempt %d of request %d: served %v, %q\n", a.Number, a.Request, r.Outcome == policy.Served, r.Body)
}
func (printResults) LoadCompleted(commandID uint64, _ policy.Outcome, replicas int) {
	fmt.Printf("load %d: %d replicas\n", commandID, replicas)
}
func (printResults) MaySendLoad(uint64) bool { return true }

func (printResults) HealthCheckCompleted(commandID uint64, _ policy.Outcome, report []float64) {
	fmt.Printf("health check %d: %v\n", commandID, report)
}

// A request is queued until the connection to its worker is established. The response goes to the result handler.
func Example() {
	var transport *printTransport
	pool := workerclient.New(workerclient.Config{
		Classes:                  []string{"interactive"},
		ReportFields:             []string{"inflight"},
		DialTimeout:              250 * time.Millisecond,
		KeepAlive:                time.Minute,
		MaxRequestsPerConnection: 32,
		MaxConnections:           100,
		Dial: func(network, addr string, timeout time.Duration, handler eventloop.DialHandler) workerclient.Transport {
			fmt.Printf("dial %s %s, timeout %v\n", network, addr, timeout)
			transport = &printTransport{handler: handler}
			return transport
		},
	}, printResults{})

	const worker = policy.WorkerID(1)
	addresses := []endpoint.Addr{{Network: endpoint.TCP4, Addr: "192.0.2.1:80"}}
	pool.SetWorker(worker, addresses, policy.Ready)

	request := &router.Request{ID: "0123456789abcdef", Function: router.Function{Key: "00000000000000aa"}, Body: []byte("input")}
	pool.StartAttempt(worker, router.Attempt{Request: 7, Number: 1}, request, time.Second)
	transport.handler.DialCompleted(nil)
	transport.handler.Data([]byte("*4\r\n$16\r\n0123456789abcdef\r\n$3\r\nHIT\r\n$1\r\n-\r\n$6\r\noutput\r\n"))

	pool.CheckHealth(worker, 3)
	transport.handler.Data([]byte("*4\r\n$2\r\np3\r\n$4\r\nPONG\r\n$14\r\nuse=inflight:0\r\n$0\r\n\r\n"))

	pool.CloseIdle(worker)
	// Output:
	// dial tcp4 192.0.2.1:80, timeout 250ms
	// "*4\r\n$3\r\nRUN\r\n$16\r\n0123456789abcdef\r\n$51\r\nqueue=interactive,path=00000000000000aa,budget=1000\r\n$5\r\ninput\r\n"
	// attempt 1 of request 7: served true, "output"
	// "*2\r\n$4\r\nINFO\r\n$2\r\np3\r\n"
	// health check 3: [0]
	// closed
}
