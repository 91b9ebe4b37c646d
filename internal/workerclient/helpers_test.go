package workerclient

import (
	"fmt"
	"strings"
	"time"

	"crankhold/internal/endpoint"
	"crankhold/internal/eventloop"
	"crankhold/internal/router"
	"crankhold/internal/testutil"
	"crankhold/policy"
)

// fakeTransport is a connection whose handler the test drives.
type fakeTransport struct {
	testutil.Transport
	handler eventloop.DialHandler
}

// resultRecorder keeps how attempts, orders and health checks ended.
type resultRecorder struct {
	outcomes        map[router.Attempt][]policy.Outcome
	commandOutcomes map[uint64][]policy.Outcome
	beyondBudget    bool // of loads that have waited
	results         map[router.Attempt]router.AttemptResult
}

func (s *resultRecorder) AttemptCompleted(a router.Attempt, r router.AttemptResult) {
	s.outcomes[a] = append(s.outcomes[a], r.Outcome)
	s.results[a] = r
}

func (s *resultRecorder) LoadCompleted(tag uint64, o policy.Outcome, _ int) {
	s.commandOutcomes[tag] = append(s.commandOutcomes[tag], o)
}

func (s *resultRecorder) MaySendLoad(uint64) bool { return !s.beyondBudget }

func (s *resultRecorder) HealthCheckCompleted(tag uint64, o policy.Outcome, _ []float64) {
	s.commandOutcomes[tag] = append(s.commandOutcomes[tag], o)
}

func newPool() (*Pool, *resultRecorder, *[]*fakeTransport) {
	s := &resultRecorder{outcomes: map[router.Attempt][]policy.Outcome{}, commandOutcomes: map[uint64][]policy.Outcome{}, results: map[router.Attempt]router.AttemptResult{}}
	var transports []*fakeTransport
	p := New(Config{Classes: []string{"dim-level"}, ReportFields: []string{"inflight"}, DialTimeout: time.Second,
		KeepAlive: 30 * time.Second, MaxRequestsPerConnection: 2, MaxConnections: 100, CancelSupported: true, HealthChecksAllowed: true, Dial: func(_, _ string, _ time.Duration, h eventloop.DialHandler) Transport {
			transports = append(transports, &fakeTransport{handler: h})
			return transports[len(transports)-1]
		}}, s)
	p.SetWorker(1, tcp4("127.0.0.1:1"), policy.Ready)
	return p, s, &transports
}

// tcp4 is one address of IPv4.
func tcp4(addr string) []endpoint.Addr { return []endpoint.Addr{{Network: endpoint.TCP4, Addr: addr}} }

func newRequest(id string) *router.Request {
	return &router.Request{ID: id, FunctionKey: "00000000000000aa", Body: []byte("hello")}
}

func encodeResponse(id, word, body string) []byte {
	return fmt.Appendf(nil, "*4\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$1\r\n-\r\n$%d\r\n%s\r\n", len(id), id, len(word), word, len(body), body)
}

// transportsWithRun tells on which connections an id was sent.
func transportsWithRun(transports []*fakeTransport, id string) (on []int) {
	for i, l := range transports {
		if strings.Contains(l.Written.String(), "RUN\r\n$16\r\n"+id) {
			on = append(on, i)
		}
	}
	return on
}

var twoAddresses = []endpoint.Addr{{Network: endpoint.Unix, Addr: "/run/w.sock"}, {Network: endpoint.TCP4, Addr: "127.0.0.1:1"}}

// newPoolWithTwoAddresses is a pool with a worker of two addresses; dialled keeps where each line goes.
func newPoolWithTwoAddresses() (p *Pool, s *resultRecorder, transports *[]*fakeTransport, dialled *[]string) {
	p, s, transports = newPool()
	dialled = new([]string)
	p.cfg.Dial = func(_, addr string, _ time.Duration, h eventloop.DialHandler) Transport {
		*dialled = append(*dialled, addr)
		*transports = append(*transports, &fakeTransport{handler: h})
		return (*transports)[len(*transports)-1]
	}
	p.SetWorker(7, twoAddresses, policy.Ready)
	return p, s, transports, dialled
}

var attempt = router.Attempt{Request: 1}

const requestID = "0123456789abcdef"
