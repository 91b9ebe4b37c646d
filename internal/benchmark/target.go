package benchmark

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"crankhold/internal/fake"
)

// minOwnConnections is the least number of connections that are opened to a router that the tool started itself.
const minOwnConnections = 64

// sender sends requests to a router.
type sender interface {
	// send sends a request for a function. done is called once, from any goroutine, with the status of the response.
	send(key, id string, done func(fake.ResponseStatus))
	// close closes all connections.
	close()
}

// loadTarget is the router that is loaded.
type loadTarget struct {
	sender
	router *process      // nil if the tool did not start the router
	bed    *fake.Testbed // nil if the tool did not start the router
}

// cpuTime returns the CPU time that the router has used, or 0 if the tool did not start the router.
func (t *loadTarget) cpuTime() time.Duration {
	if t.router == nil {
		return 0
	}
	return t.router.cpuTime()
}

// close closes the connections, and stops the router and the testbed if the tool started them.
func (t *loadTarget) close() {
	if t.sender != nil {
		t.sender.close()
	}
	if t.router != nil {
		t.router.stop()
	}
	if t.bed != nil {
		t.bed.Close()
	}
}

// connect connects to the router that the flags name. If they name none, it starts a router and connects to that.
func (l Load) connect() (*loadTarget, error) {
	if l.Target.HookURL != "" {
		webhooks, err := newWebhookSender(l)
		if err != nil {
			return nil, err
		}
		return &loadTarget{sender: webhooks}, nil
	}
	target := &loadTarget{}
	if l.Target.Addr == "" {
		if err := target.start(l.Target.Router); err != nil {
			target.close()
			return nil, err
		}
		l.Target.Addr = target.router.listen
		l.Traffic.Connections = max(l.Traffic.Connections, minOwnConnections)
	}
	thrift, err := newThriftSender(l)
	if err != nil {
		target.close()
		return nil, err
	}
	target.sender = thrift
	return target, nil
}

// start starts a router and workers with a service time of one millisecond.
func (t *loadTarget) start(path string) error {
	program, err := findRouter(path)
	if err != nil {
		return err
	}
	workers := workerConfigs(12, "s-%d", fake.WorkerConfig{
		Kind:        "std",
		ServiceTime: time.Millisecond,
		LoadTime:    100 * time.Millisecond,
		KeepAlive:   time.Minute,
		Lanes:       32,
		Queue:       256,
	})
	t.bed, err = startTestbed(workers, nil)
	if err != nil {
		return err
	}
	t.router, err = startRouterOn(t.bed, program)
	return err
}

// Errors for addresses that the load tool does not send to.
var (
	errNoAddress   = errors.New("no address with a port")
	errNotLoopback = errors.New("not a loopback address: the load tool sends to loopback addresses only")
)

// checkLoopback returns an error for every address that is not a loopback IP address with a port.
func checkLoopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%q is %w", addr, errNoAddress)
	}
	ip, err := netip.ParseAddr(host)
	if err != nil || !ip.IsLoopback() {
		return fmt.Errorf("%s is %w", addr, errNotLoopback)
	}
	return nil
}

// thriftSender sends requests by Thrift over several connections. It is not safe for concurrent use.
type thriftSender struct {
	class   string
	timeout time.Duration
	clients []*fake.Client
	next    int
}

func newThriftSender(l Load) (*thriftSender, error) {
	if err := checkLoopback(l.Target.Addr); err != nil {
		return nil, err
	}
	clients, err := dialClients(l.Target.Addr, l.Traffic.Connections)
	if err != nil {
		return nil, err
	}
	return &thriftSender{class: l.Traffic.Class, timeout: l.Traffic.Timeout, clients: clients}, nil
}

func (s *thriftSender) send(key, id string, done func(fake.ResponseStatus)) {
	request := fake.Request{
		Class:       s.class,
		ID:          id,
		FunctionKey: key,
		Timeout:     s.timeout,
		Properties:  "memory_mb:256;lanes:32;load_ms:300",
		Body:        []byte("x"),
	}
	s.pick().Go(request, func(response fake.Response, err error) {
		if err != nil {
			done(statusLost)
			return
		}
		done(response.Status)
	})
}

// pick compares two connections and returns the one with fewer requests in flight, because a connection takes at most
// 64 requests.
func (s *thriftSender) pick() *fake.Client {
	s.next++
	first := s.clients[s.next%len(s.clients)]
	second := s.clients[(s.next*7+3)%len(s.clients)]
	if second.RequestsInFlight() < first.RequestsInFlight() {
		return second
	}
	return first
}

func (s *thriftSender) close() { closeClients(s.clients) }
