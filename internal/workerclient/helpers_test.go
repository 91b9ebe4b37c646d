package workerclient

import (
	"fmt"
	"math"
	"strings"
	"time"

	"crankhold/internal/endpoint"
	"crankhold/internal/eventloop"
	"crankhold/internal/router"
	"crankhold/internal/testutil"
	"crankhold/policy"
)

// fakeTransport is a connection whose handler is called by the test.
type fakeTransport struct {
	testutil.Transport
	handler eventloop.DialHandler
}

// resultRecorder records the results of attempts, load commands and health checks.
type resultRecorder struct {
	outcomes        map[router.Attempt][]policy.Outcome
	results         map[router.Attempt]router.AttemptResult
	commandOutcomes map[uint64][]policy.Outcome // by the id of the load or the health check
	overLoadBudget  bool                        // loads that have waited may not be sent
}

func newResultRecorder() *resultRecorder {
	return &resultRecorder{
		outcomes:        map[router.Attempt][]policy.Outcome{},
		results:         map[router.Attempt]router.AttemptResult{},
		commandOutcomes: map[uint64][]policy.Outcome{},
	}
}

func (r *resultRecorder) AttemptCompleted(a router.Attempt, result router.AttemptResult) {
	r.outcomes[a] = append(r.outcomes[a], result.Outcome)
	r.results[a] = result
}

func (r *resultRecorder) LoadCompleted(commandID uint64, o policy.Outcome, _ int) {
	r.commandOutcomes[commandID] = append(r.commandOutcomes[commandID], o)
}

func (r *resultRecorder) MaySendLoad(uint64) bool { return !r.overLoadBudget }

func (r *resultRecorder) HealthCheckCompleted(commandID uint64, o policy.Outcome, _ []float64) {
	r.commandOutcomes[commandID] = append(r.commandOutcomes[commandID], o)
}

// testPool is a pool with the connections that it dialed and the results that it reported.
type testPool struct {
	*Pool
	recorder   *resultRecorder
	transports []*fakeTransport // in the order in which they were dialed
	dialed     []string         // their addresses
}

// newTestPool returns a pool with worker 1, which has one address. Each function in configure changes the settings.
func newTestPool(configure ...func(*Config)) *testPool {
	p := &testPool{recorder: newResultRecorder()}
	cfg := Config{
		Classes:                  []string{"dim-level"},
		ReportFields:             []string{"inflight"},
		DialTimeout:              time.Second,
		KeepAlive:                30 * time.Second,
		MaxRequestsPerConnection: 2,
		MaxConnections:           100,
		CancelSupported:          true,
		HealthChecksAllowed:      true,
		Dial:                     p.dialFake,
	}
	for _, change := range configure {
		change(&cfg)
	}
	p.Pool = New(cfg, p.recorder)
	p.SetWorker(1, tcp4("127.0.0.1:1"), policy.Ready)
	return p
}

// newTestPoolWithTwoAddresses returns a pool that also has worker 7, with twoAddresses.
func newTestPoolWithTwoAddresses(configure ...func(*Config)) *testPool {
	p := newTestPool(configure...)
	p.SetWorker(7, twoAddresses, policy.Ready)
	return p
}

func (p *testPool) dialFake(_, addr string, _ time.Duration, h eventloop.DialHandler) Transport {
	transport := &fakeTransport{handler: h}
	p.transports = append(p.transports, transport)
	p.dialed = append(p.dialed, addr)
	return transport
}

// tcp4 returns a list of one IPv4 address.
func tcp4(addr string) []endpoint.Addr { return []endpoint.Addr{{Network: endpoint.TCP4, Addr: addr}} }

func newRequest(id string) *router.Request {
	return &router.Request{ID: id, Function: router.Function{Key: "00000000000000aa"}, Body: []byte("hello")}
}

// decodeArray decodes the array of bulk strings at the start of data, such as a command. It returns its size in bytes, or
// 0 while it is incomplete.
func decodeArray(data []byte) (elements [][]byte, size int, err error) {
	count, offset, err := decodeLength(data, 0, arrayType, math.MaxInt32)
	if err != nil || offset == 0 {
		return nil, 0, err
	}
	return decodeBulkStrings(data, offset, count, nil)
}

// encodeResponse returns a response of four elements, without fields.
func encodeResponse(id, status, body string) []byte {
	return fmt.Appendf(nil, "*4\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$1\r\n-\r\n$%d\r\n%s\r\n", len(id), id, len(status), status, len(body), body)
}

// transportsWithRun returns the indices of the connections over which a request with that id was written.
func transportsWithRun(transports []*fakeTransport, id string) (indices []int) {
	for i, transport := range transports {
		if strings.Contains(transport.Written.String(), "RUN\r\n$16\r\n"+id) {
			indices = append(indices, i)
		}
	}
	return indices
}

var twoAddresses = []endpoint.Addr{
	{Network: endpoint.Unix, Addr: "/run/w.sock"},
	{Network: endpoint.TCP4, Addr: "127.0.0.1:1"},
}

var attempt = router.Attempt{Request: 1}

const requestID = "0123456789abcdef"
