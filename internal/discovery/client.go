package discovery

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"crankhold/internal/endpoint"
	"crankhold/internal/eventloop"
	"crankhold/policy"
)

const (
	// AnnounceDelay is the time after an event at which it counts as announced, whether a router has heard of it or
	// not.
	AnnounceDelay = 1500 * time.Millisecond

	// pollsPerEvent is how many polls fall between an event and the time at which nothing new may be sent to its
	// worker.
	pollsPerEvent = 3

	// roundTripAllowance is more than a query and its response take.
	roundTripAllowance = 80 * time.Millisecond

	// initialBackoff is the time after which a query without a response is repeated. It doubles up to the poll
	// interval.
	initialBackoff = 250 * time.Millisecond

	// maxBackoffShift bounds the doublings, so that the shifted value can't overflow.
	maxBackoffShift = 8

	// redialDelay is the time between a socket's failure and the next dial. It is short, since it adds to the
	// time in which the discovery server is not heard.
	redialDelay = 200 * time.Millisecond

	// jitterSeed keeps the client's random numbers apart from those that other packages draw by the same seed.
	jitterSeed = 0x6469726563
)

// Worker is one entry of the endpoint list.
type Worker struct {
	Name    string
	Addrs   []endpoint.Addr
	Zone    string
	Kind    string
	State   policy.WorkerState
	Weight  float64
	Cell    int
	Started int64 // when its process started, in Unix milliseconds; 0 where that is not reported
}

// Transport is a socket to the discovery server; an eventloop.Conn is one.
type Transport interface {
	Write(bufs ...[]byte)
	Close()
}

// Client polls the discovery server and keeps the endpoint list.
type Client struct {
	// UnixInTXT accepts the text unix=/path in a worker's TXT record as one more address, which is an extension.
	UnixInTXT bool
	// Confirmed, where set, is called when a response has said that the list is the present one.
	Confirmed func()
	// QueriesSent counts the queries.
	QueriesSent uint64
	// ResponsesRead counts the responses that could be used whole.
	ResponsesRead uint64

	dial    func(addr string, handler eventloop.DialHandler) Transport
	changed func([]Worker)
	random  *rand.Rand

	addr           string  // of the discovery server
	socket         *socket // nil between a failure and the next dial
	previousSocket *socket // to the former address, until the dial to the new one has ended
	failureLogged  bool    // a failure has been logged since the last good response

	now          time.Duration
	pollInterval time.Duration // between queries that are answered, at most
	nextTick     time.Duration
	lastQuery    time.Duration
	unanswered   int // queries since the last one that was answered with the current list

	workers    map[string]Worker
	serial     uint32
	incomplete bool          // the current list had a record that could not be used
	staleSince time.Duration // since when all responses have had lower serial numbers; 0 if the last one had not
}

// New returns a Client for the discovery server at addr. It calls changed with each list that is newer than the
// one before.
//
// Grace is how long after an event was announced something new may still be sent to its worker. The poll interval
// follows from it: each query is work for a server that all routers share, so there are no more than it takes to hear
// of an event in time although responses are lost or outdated. Seed determines the jitter.
func New(addr string, seed uint64, grace time.Duration, dial func(addr string, handler eventloop.DialHandler) Transport, changed func([]Worker)) *Client {
	return &Client{
		addr:         addr,
		dial:         dial,
		changed:      changed,
		workers:      map[string]Worker{},
		pollInterval: max((AnnounceDelay+grace)/pollsPerEvent-roundTripAllowance, initialBackoff),
		random:       rand.New(rand.NewPCG(seed, jitterSeed)),
	}
}

// WorkerCount returns how many workers the list holds.
func (c *Client) WorkerCount() int { return len(c.workers) }

// SetServer switches to the discovery server at addr, which is polled at once. The list and its serial number stay: the
// new server continues them.
func (c *Client) SetServer(now time.Duration, addr string) {
	if addr == c.addr {
		return
	}
	c.addr = addr
	c.nextTick = now
	c.failureLogged = false
	c.staleSince = 0
	if c.socket != nil {
		// The socket keeps its descriptor until its successor has one: clients could take the last one in between.
		c.closePreviousSocket()
		c.previousSocket = c.socket
		c.socket = nil
	}
}

// closePreviousSocket closes the socket to the former address, if there is one.
func (c *Client) closePreviousSocket() {
	if c.previousSocket != nil {
		c.previousSocket.transport.Close()
		c.previousSocket = nil
	}
}

// Tick dials or sends a query where that is due, and returns when it wants to be called again.
func (c *Client) Tick(now time.Duration) time.Duration {
	c.now = now
	if now < c.nextTick {
		return c.nextTick
	}
	if c.socket == nil {
		c.nextTick = now + redialDelay
		c.openSocket()
		return c.nextTick
	}
	c.nextTick = now + c.jitter(c.backoff())
	if c.socket.connected {
		c.unanswered++
		c.lastQuery = now
		c.socket.sendQuery()
	}
	return c.nextTick
}

// openSocket begins a dial. The socket is set before the dial, which may call it back at once.
func (c *Client) openSocket() {
	s := &socket{client: c}
	c.socket = s
	s.transport = c.dial(c.addr, s)
}

// backoff returns the time until the next query if the one that is sent now is not answered.
func (c *Client) backoff() time.Duration {
	return min(initialBackoff<<min(c.unanswered, maxBackoffShift), c.pollInterval)
}

// jitter returns a random time between four fifths of longest and longest.
func (c *Client) jitter(longest time.Duration) time.Duration {
	return longest - time.Duration(c.random.Int64N(int64(longest/5)))
}

// receive processes a response and schedules the next poll.
func (c *Client) receive(r response) error {
	if err := c.apply(r); err != nil {
		return err
	}
	c.failureLogged = false
	c.ResponsesRead++
	if r.serial == c.serial && !c.incomplete { // an outdated response says nothing of the present, so polling goes on
		c.unanswered = 0
		if c.Confirmed != nil {
			c.Confirmed()
		}
		c.nextTick = max(c.now, c.lastQuery+c.jitter(c.pollInterval))
	}
	return nil
}

// notify calls changed with the list in the order of its names.
func (c *Client) notify() {
	list := make([]Worker, 0, len(c.workers))
	for _, w := range c.workers {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b Worker) int { return strings.Compare(a.Name, b.Name) })
	c.changed(list)
}

// logFailure logs the first failure after a good response; what follows it says nothing new.
func (c *Client) logFailure(event string, err error) {
	if !c.failureLogged {
		slog.Warn(event, slog.String("addr", c.addr), slog.Any("err", err))
	}
	c.failureLogged = true
}
