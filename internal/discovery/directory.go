// Package discovery follows the list of workers: what the configuration holds of it at the start,
// and then what DNS over UDP tells.
package discovery

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"crankhold/internal/endpoint"
	"crankhold/internal/eventloop"
	"crankhold/policy"
)

const (
	serviceName = "_back._tcp.pool.lan"
	toldAfter   = 1500 * time.Millisecond // an event counts as told so long after it happened, heard or not
	chances     = 3                       // to hear of an event before nothing new may go to its worker
	wayBack     = 80 * time.Millisecond   // a query and its answer take less
	askAgain    = 250 * time.Millisecond  // a query without an answer; twice as long each further time
	redialAfter = 200 * time.Millisecond  // a lost socket must not add to a silence of the directory's
	lateQueries = 32                      // an answer to one of so many last queries is taken, once

	// What a directory has to tell counts as told 7 s later at the latest. One that answers with nothing but serials
	// below ours for twice as long is not late: it counts anew.
	renumberAfter = 14 * time.Second
)

// Worker is one worker as the directory knows it.
type Worker struct {
	Name    string
	Addrs   []endpoint.Addr
	Zone    string
	Kind    string
	State   policy.WorkerState
	Weight  float64
	Cell    int
	Started int64 // Unix milliseconds of a late start, or 0
}

// Snapshot is the start's list in the configuration.
type Snapshot struct {
	Offset uint32  `json:"offset"`
	Batch  []event `json:"batch"`
}

type event struct {
	Offset   uint32 `json:"offset"`
	Topology struct {
		Complete bool     `json:"complete"`
		Members  []member `json:"members"`
	} `json:"topology"`
}

type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// Transport is a socket to the directory; an eventloop.Conn is one.
type Transport interface {
	Write(bufs ...[]byte)
	Close()
}

// Client asks the directory for the list, over and over.
type Client struct {
	dial    func(addr string, h eventloop.DialHandler) Transport
	changed func([]Worker)
	addr    string
	sock    *socket
	every   time.Duration // between queries that are answered, at most
	rng     *rand.Rand
	next    time.Duration
	now     time.Duration
	asked   time.Duration // the last query
	missed  int           // queries since one was answered
	serial  uint32
	partial bool          // of the list held some record could not be used
	behind  time.Duration // since when all answers have had serials below ours; 0: the last one had not
	workers map[string]Worker
	left    *socket // to the address before, until the one to its successor is open or has failed
	silent  bool    // what goes wrong has been logged since the last good answer
	// UnixInTXT takes unix=/path in a worker's TXT record as one more address of it, an extension of ours.
	UnixInTXT     bool
	QueriesSent   uint64 // queries sent
	ResponsesRead uint64 // answers that could be read
}

// socket is one socket to the directory. Each has queries of its own: what comes late on one that was
// given up, from a directory at an earlier address, answers nothing.
type socket struct {
	client  *Client
	line    Transport
	up      bool
	pending []uint16 // queries that have had no answer, the last one at the end
}

// New returns a Client for the directory at addr; changed is called with every list that is newer than
// the one before. Grace is how long after an event was told something new may still go to its worker. Each query is
// work for a directory that all routers share, so there are no more than it takes: an event has its chances to be
// heard of before that, though answers get lost or come old. Seed spreads the queries of many routers that start,
// or are sent to another directory, at one time.
func New(addr string, seed uint64, grace time.Duration, dial func(addr string, h eventloop.DialHandler) Transport, changed func([]Worker)) *Client {
	return &Client{addr: addr, dial: dial, changed: changed, workers: map[string]Worker{},
		every: max((toldAfter+grace)/chances-wayBack, askAgain), rng: rand.New(rand.NewPCG(seed, 0x6469726563))}
}

// spread returns a time up to most, and a fifth less at the least.
func (c *Client) spread(most time.Duration) time.Duration {
	return most - time.Duration(c.rng.Int64N(int64(most/5)))
}

// SetServer goes over to a directory at another address, which is asked at once. The list and its number
// stay: what the new one has to tell goes on from there.
func (c *Client) SetServer(now time.Duration, addr string) {
	if addr == c.addr {
		return
	}
	c.addr, c.next, c.silent, c.behind = addr, now, false, 0
	if c.sock != nil {
		// Its descriptor is kept until the successor has one: it would be anybody's in between.
		c.leave()
		c.left, c.sock = c.sock, nil
	}
}

// leave closes the socket to the address before.
func (c *Client) leave() {
	if c.left != nil {
		c.left.line.Close()
		c.left = nil
	}
}

// LoadSnapshot takes in the start's list.
func (c *Client) LoadSnapshot(k Snapshot) error {
	for _, e := range k.Batch {
		if e.Topology.Complete {
			clear(c.workers)
		}
		for _, m := range e.Topology.Members {
			addr, err := endpoint.ParseHost(m.HostPort)
			if err != nil {
				return fmt.Errorf("known: worker %q: %w", m.ID, err)
			}
			w := Worker{Name: m.ID, Addrs: []endpoint.Addr{addr}, Zone: m.Locality, Kind: m.Flavor, Weight: m.Size, Cell: m.Cell, Started: m.UpSince}
			switch m.Phase {
			case "Ready":
				w.State = policy.Ready
			case "Terminating":
				w.State = policy.Draining
			case "Gone":
				w.State = policy.Gone
			default:
				return fmt.Errorf("known: worker %q: unknown phase %q", m.ID, m.Phase)
			}
			if c.workers[m.ID] = w; w.State == policy.Gone {
				delete(c.workers, m.ID)
			}
		}
		c.serial = max(c.serial, e.Offset)
	}
	c.serial = max(c.serial, k.Offset)
	c.tell()
	return nil
}

func (c *Client) tell() {
	list := make([]Worker, 0, len(c.workers))
	for _, w := range c.workers {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b Worker) int { return strings.Compare(a.Name, b.Name) })
	c.changed(list)
}

// WorkerCount is how many workers are known.
func (c *Client) WorkerCount() int { return len(c.workers) }

// Tick asks when it is time to, and returns when that is next.
func (c *Client) Tick(now time.Duration) time.Duration {
	c.now = now
	if now < c.next {
		return c.next
	}
	if c.sock == nil {
		c.next = now + redialAfter
		s := &socket{client: c}
		c.sock = s
		s.line = c.dial(c.addr, s)
		return c.next
	}
	c.next = now + c.spread(min(askAgain<<min(c.missed, 8), c.every))
	if c.sock.up {
		c.missed++
		c.asked = now
		c.sock.ask()
	}
	return c.next
}

// ask sends a query under an id that can't be guessed and that no other pending one has.
func (s *socket) ask() {
	id := uint16(rand.Uint32())
	for slices.Contains(s.pending, id) {
		id++
	}
	s.pending = append(s.pending[max(0, len(s.pending)+1-lateQueries):], id)
	s.client.QueriesSent++
	s.line.Write(query(id, serviceName))
}

// DialCompleted is the end of the dial.
func (s *socket) DialCompleted(err error) {
	if s.client.sock == s {
		s.client.leave()
	}
	if s.up = err == nil; !s.up {
		s.Closed(err)
	} else if c := s.client; c.sock == s {
		c.next = c.now + time.Duration(c.rng.Int64N(int64(askAgain)))
	}
}

// Closed is the end of the socket; another is opened a little later.
func (s *socket) Closed(err error) {
	c := s.client
	if c.sock != s {
		return // left behind by Move
	}
	c.complain("discovery_connection_lost", err)
	c.sock, c.next = nil, c.now+redialAfter
}

// complain logs the first thing that goes wrong after a good answer.
func (c *Client) complain(event string, err error) {
	if !c.silent {
		slog.Warn(event, "addr", c.addr, "err", err)
	}
	c.silent = true
}

// Data takes in an answer. Lists are whole, so a lost or overtaken answer does no harm: one that is
// older than what we hold is dropped. A directory slower than askAgain answers a query that is no
// longer the last; taking only the last one's answer would then take none.
func (s *socket) Data(b []byte) {
	c := s.client
	if c.sock != s {
		return
	}
	id, r, err := parse(b)
	if err == nil {
		i := slices.Index(s.pending, id)
		if i < 0 {
			err = errors.New("not the answer to a query of ours")
		} else {
			s.pending = slices.Delete(s.pending, i, i+1)
			err = c.take(r)
		}
	}
	if err != nil {
		c.complain("discovery_response_invalid", err)
		return
	}
	c.silent = false
	c.ResponsesRead++
	if r.serial == c.serial && !c.partial { // an older one tells nothing of what holds now
		c.missed = 0
		c.next = max(c.now, c.asked+c.spread(c.every))
	}
}

// newer compares serials as RFC 1982 has it: they start again behind the highest.
func newer(a, b uint32) bool { return int32(a-b) > 0 }

// renumbered tells whether a serial below ours is of a directory that counts anew, by how long it has told no other.
func (c *Client) renumbered(serial uint32) bool {
	if !newer(c.serial, serial) {
		c.behind = 0
		return false
	}
	if c.behind == 0 {
		c.behind = c.now
	}
	if c.now-c.behind < renumberAfter {
		return false
	}
	slog.Warn("discovery_serial_reset", "addr", c.addr, "before", c.serial, "serial", serial)
	c.behind = 0
	return true
}

// take follows a list if it is newer than the one held. A record that can't be used costs no other its news: its worker
// keeps the addresses that it had, or is left out, and the same list is read again where it comes better.
func (c *Client) take(r reply) error {
	if !newer(r.serial, c.serial) && !c.renumbered(r.serial) && !(r.serial == c.serial && c.partial) {
		return nil
	}
	c.behind = 0
	var wrong error
	workers := map[string]Worker{}
	for _, s := range r.srv {
		w := Worker{State: policy.Ready, Weight: float64(s.weight) / 10}
		for _, ip := range r.addrs[s.target] {
			// One that nobody can connect to is passed over: others of the same worker may be good.
			if addr, err := endpoint.ParseHost(netip.AddrPortFrom(ip, s.port).String()); err == nil {
				w.Addrs = append(w.Addrs, addr)
			}
		}
		w.Name, w.Zone, _ = strings.Cut(s.target, ".")
		w.Zone, _, _ = strings.Cut(w.Zone, ".")
		if s.priority > 0 {
			w.State = policy.Draining
		}
		for _, text := range r.texts[s.target] {
			name, value, _ := strings.Cut(text, "=")
			n, err := strconv.ParseInt(value, 10, 64)
			switch {
			case name == "kind":
				w.Kind = value
			case name == "unix" && c.UnixInTXT:
				if addr, err := endpoint.Parse(endpoint.Unix, value); err == nil {
					w.Addrs = append(w.Addrs, addr)
				}
			case name == "cell" && err == nil:
				w.Cell = int(n)
			case name == "started" && err == nil:
				w.Started = n
			}
		}
		if len(w.Addrs) == 0 {
			wrong = fmt.Errorf("no address for %s", s.target)
			if w.Addrs = c.workers[w.Name].Addrs; len(w.Addrs) == 0 {
				continue
			}
		}
		w.Addrs = w.Addrs[:min(len(w.Addrs), endpoint.MaxAddresses)]
		workers[w.Name] = w
	}
	if wrong != nil && r.serial == c.serial { // no better than what is held of it
		return wrong
	}
	c.serial, c.partial, c.workers = r.serial, wrong != nil, workers
	c.tell()
	return wrong
}
