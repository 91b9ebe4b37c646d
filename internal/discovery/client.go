package discovery

import (
	"log/slog"
	"time"

	"crankhold/internal/endpoint"
	"crankhold/internal/eventloop"
)

// Config configures a Client. Addr, Dial and ListChanged are required.
type Config struct {
	// Addr is the address of the discovery server, as ip:port.
	Addr string

	// Seed is the seed of the jitter. Clients with different seeds send their queries at different times.
	Seed uint64

	// DrainGracePeriod is how long new work may still be sent to a worker after its drain was announced. The poll
	// interval is derived from it. Because all routers share the server, the client sends only as many queries as it
	// needs to receive the event in time even if some responses are lost or outdated.
	DrainGracePeriod time.Duration

	// UnixInTXT accepts the text unix=/path in a worker's TXT record as an additional address. This is an extension
	// of the protocol.
	UnixInTXT bool

	// Dial opens a socket to the discovery server and reports its events to the handler, which it may call before
	// it returns.
	Dial func(addr string, handler eventloop.DialHandler) Transport

	// ListChanged is called with each new list, sorted by the names of the workers.
	ListChanged func([]Worker)

	// ListConfirmed is called when a response has confirmed that the list is the current one. It may be nil.
	ListConfirmed func()

	// Logger logs failures of the discovery server; nil means slog.Default().
	Logger *slog.Logger
}

// Counters counts queries and responses since the Client was created.
type Counters struct {
	QueriesSent   uint64
	ResponsesRead uint64 // responses without any error
}

// Client polls the discovery server and keeps the endpoint list. It belongs to the event loop's goroutine.
type Client struct {
	Counters

	logger        *slog.Logger
	listChanged   func([]Worker)
	listConfirmed func()

	now           time.Duration // time of the latest Tick
	schedule      pollSchedule
	sockets       serverSockets
	joiner        recordJoiner
	endpoints     endpointList
	failureLogged bool // a failure has been logged since the last response without an error
}

// New returns a Client. The first call of Tick opens its socket.
func New(cfg Config) *Client {
	client := &Client{
		logger:        cfg.Logger,
		listChanged:   cfg.ListChanged,
		listConfirmed: cfg.ListConfirmed,
		schedule:      newPollSchedule(cfg.Seed, cfg.DrainGracePeriod),
		sockets:       serverSockets{dial: cfg.Dial, addr: cfg.Addr},
		joiner:        recordJoiner{unixInTXT: cfg.UnixInTXT},
		endpoints:     endpointList{workers: map[endpoint.NameKey]Worker{}},
	}
	if client.logger == nil {
		client.logger = slog.Default()
	}
	if client.listConfirmed == nil {
		client.listConfirmed = func() {}
	}
	return client
}

// LoadSnapshot applies the endpoint list of the configuration and calls ListChanged. Its error is a SnapshotError,
// after which the client must not be used.
func (c *Client) LoadSnapshot(snapshot Snapshot) error {
	if err := c.endpoints.applySnapshot(snapshot); err != nil {
		return err
	}
	c.listChanged(c.endpoints.sorted())
	return nil
}

// WorkerCount returns the number of workers in the list.
func (c *Client) WorkerCount() int { return len(c.endpoints.workers) }

// SetServer switches to the discovery server at addr, which is polled at once. The list and its serial number are kept,
// because the new server continues the numbering.
func (c *Client) SetServer(now time.Duration, addr string) {
	if addr == c.sockets.addr {
		return
	}
	c.schedule.pollAt(now)
	c.failureLogged = false
	c.endpoints.staleSince = 0
	c.sockets.switchTo(addr)
}

// Tick dials or sends a query if that is due. It returns the time at which it must be called again.
func (c *Client) Tick(now time.Duration) time.Duration {
	c.now = now
	switch {
	case now < c.schedule.next:
		// Nothing is due.
	case c.sockets.current == nil:
		c.schedule.scheduleRedial(now)
		c.sockets.open(c)
	default:
		c.poll()
	}
	return c.schedule.next
}

// poll sends a query if the socket is connected, and schedules the next one.
func (c *Client) poll() {
	c.schedule.scheduleRetry(c.now)
	if !c.sockets.current.connected {
		return
	}
	c.schedule.querySent(c.now)
	c.QueriesSent++
	c.sockets.current.sendQuery()
}

// dialCompleted handles the completion of a dial. The socket to the former address is closed only now. If it were
// closed earlier, a client's connection could take its descriptor.
func (c *Client) dialCompleted(s *socket, err error) {
	if s != c.sockets.current {
		return
	}
	c.sockets.closePrevious()
	if err != nil {
		c.socketClosed(s, err)
		return
	}
	c.schedule.scheduleFirstQuery(c.now)
}

// socketClosed schedules the next dial, unless the closed socket was replaced by SetServer.
func (c *Client) socketClosed(s *socket, err error) {
	if s != c.sockets.current {
		return
	}
	c.logFailure("discovery_connection_lost", err)
	c.sockets.current = nil
	c.schedule.scheduleRedial(c.now)
}

// datagramReceived handles a datagram. An invalid one is logged and has no other effect.
func (c *Client) datagramReceived(s *socket, datagram []byte) {
	if s != c.sockets.current {
		return
	}
	r, err := s.matchResponse(datagram)
	if err == nil {
		err = c.handleResponse(r)
	}
	if err != nil {
		c.logFailure("discovery_response_invalid", err)
	}
}

// handleResponse applies a response. If the response confirms the current list, it schedules the next poll.
func (c *Client) handleResponse(r response) error {
	if err := c.applyResponse(r); err != nil {
		return err
	}
	c.failureLogged = false
	c.ResponsesRead++
	if c.endpoints.confirmedBy(r.serial) { // after an outdated response the query is repeated with backoff
		c.listConfirmed()
		c.schedule.listConfirmed(c.now)
	}
	return nil
}

// applyResponse replaces the list by that of a response if the latter is newer or completes the current one. A
// MissingAddressError reports that the resulting list lacks the new addresses of some worker.
func (c *Client) applyResponse(r response) error {
	current := c.endpoints.serial
	switch c.endpoints.compare(r.serial, c.now) {
	case listIgnored:
		return nil
	case listRenumbered:
		c.logger.Warn("discovery_serial_reset", slog.String("addr", c.sockets.addr),
			slog.Uint64("before", uint64(current)), slog.Uint64("serial", uint64(r.serial)))
	}
	workers, err := c.joiner.workers(r, c.endpoints.workers)
	incomplete := err != nil
	if incomplete && r.serial == current { // the current list has the same number and is incomplete, too
		return err
	}
	c.endpoints.replace(r.serial, workers, incomplete)
	c.listChanged(c.endpoints.sorted())
	return err
}

// logFailure logs the first failure after a response without an error. Further failures are not logged, because they
// add no information.
func (c *Client) logFailure(event string, err error) {
	if !c.failureLogged {
		c.logger.Warn(event, slog.String("addr", c.sockets.addr), slog.Any("err", err))
	}
	c.failureLogged = true
}
