// Package webhook is the second front: calls that come as signed webhooks, and signed notices of
// what became of orders, after the Standard Webhooks specification.
package webhook

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"crankhold/internal/eventloop"
	"crankhold/internal/router"
	"crankhold/policy"
)

const (
	maxOutcomes = 20000       // remembered deliveries; beyond it new ones are refused
	maxDrain    = 256 << 10   // bytes read and dropped behind a malformed request
	maxTenant   = 128         // bytes of a tenant's name
	refusedFor  = time.Second // Retry-After where the module gives no advice
)

// Core is what the receiver hands calls to.
type Core interface {
	Accept(now time.Duration, r router.Request) policy.RequestID
}

// Transport is a connection to a peer; an eventloop.Conn is one.
type Transport interface {
	Write(bufs ...[]byte)
	Close()
	CloseAfterFlush()
}

// Class is a class of calls as the receiver needs to know it.
type Class struct {
	Name                   string
	NotIdempotent          bool          // must never run twice: it goes through the ledger
	RequiresIdempotencyKey bool          // workers drop its repeats, by a key that is made of the webhook-id
	MaxWait                time.Duration // a call may wait
}

// Counters tells what became of deliveries.
type Counters struct {
	Deliveries, Unauthorized, Malformed, Replayed, Joined, LedgerRefused uint64
}

// Receiver serves signed webhooks.
type Receiver struct {
	cfg      *Config
	core     Core
	classes  map[string]int
	list     []Class
	clock    func() time.Duration
	wall     func() time.Time
	post     func(func())
	keys     []key
	ledger   *ledger
	outcomes map[string]*outcome
	bytes    int
	most     int           // bytes of answers' bodies that are remembered; beyond it new deliveries are refused
	quiet    time.Duration // no complaint is logged before
	Counters Counters
}

// outcome is what is known of a webhook-id.
type outcome struct {
	sum     string
	at      time.Time // of the event, for orders
	order   bool
	settled bool
	status  int
	body    []byte
	since   time.Duration // when it settled
	waiting []*client
}

// payload is the JSON of a delivery. All that matters is in it, since only it is signed.
type payload struct {
	Type      string    `json:"type"`
	Timestamp time.Time `json:"timestamp"` // of the event; the same in each redelivery
	Data      struct {
		Class    string  `json:"class"`
		Key      string  `json:"key"`
		Tenant   string  `json:"tenant"`
		WaitMs   float64 `json:"wait_ms"`
		MemoryMB float64 `json:"memory_mb"`
		Lanes    float64 `json:"lanes"`
		LoadMs   float64 `json:"load_ms"`
		Body     []byte  `json:"body"`
	} `json:"data"`
}

const callType = "call.requested"

// NewReceiver reads the keys and the ledger. It remembers at most so many bytes of answers. Post runs a
// function on the loop's goroutine.
func NewReceiver(cfg *Config, core Core, classes []Class, most int, clock func() time.Duration, wall func() time.Time,
	post func(func())) (*Receiver, error) {
	v := &Receiver{cfg: cfg, core: core, classes: map[string]int{}, list: classes, most: most, clock: clock, wall: wall, post: post,
		outcomes: map[string]*outcome{}}
	for i, c := range classes {
		v.classes[c.Name] = i
	}
	for _, k := range cfg.Receiver.Keys {
		secret, err := readKey(k.File)
		if err != nil {
			return nil, err
		}
		v.keys = append(v.keys, key{secret, k.Until})
	}
	if l := cfg.Receiver.Ledger; l.Path != "" {
		var entries []entry
		var err error
		if v.ledger, entries, err = openLedger(l.Path, l.MaxBytes, l.Retention, wall); err != nil {
			return nil, err
		}
		for _, e := range entries {
			o := &outcome{sum: e.Sum, at: e.At, order: true, settled: true, status: e.Status, body: e.Body}
			if e.State == begun { // its run may have happened, and nothing is known of how it ended
				o.status, o.body = 502, nil
			}
			v.outcomes[e.ID] = o
			v.bytes += len(o.body)
		}
	}
	return v, nil
}

// Close waits until the ledger's lines are written. No delivery may come after it.
func (v *Receiver) Close() error {
	if v.ledger == nil {
		return nil
	}
	return v.ledger.close()
}

// Accept serves a connection.
func (v *Receiver) Accept(c *eventloop.Conn) eventloop.AcceptedHandler {
	return v.serve(c, c.RemoteAddr())
}

func (v *Receiver) serve(line Transport, peer netip.AddrPort) *client {
	return &client{front: v, line: line, peer: peer}
}

// client is a connection. It has one request at a time; what follows it waits in buf.
type client struct {
	front   *Receiver
	line    Transport
	peer    netip.AddrPort
	buf     []byte
	req     *request // its head has come, its body has not; it points into head
	gone    bool
	pending bool // an answer is owed
	last    bool
	whole   int // requests
	drained int // bytes read and dropped behind the last answer
}

// Busy tells whether an answer is owed.
func (c *client) Busy() bool { return c.pending }

// Messages is how many whole requests have come, and whether the beginning of another has; what a client
// sends behind the last answer is no more than that.
func (c *client) Messages() (whole int, begun bool) {
	return c.whole, c.gone || c.req != nil || len(c.buf) > 0
}

// Data takes in requests, split in any way.
func (c *client) Data(b []byte) {
	if c.gone {
		if c.drained += len(b); c.drained > maxDrain {
			c.line.Close()
		}
		return
	}
	c.buf = append(c.buf, b...)
	if c.pending && len(c.buf) > maxHead+maxBody {
		c.close() // it sends on without hearing the answer
		return
	}
	c.next()
}

// next handles what has come whole.
func (c *client) next() {
	for !c.pending && !c.gone && len(c.buf) > 0 {
		if c.req == nil {
			r, size, status := parseHead(c.buf)
			if status != 0 {
				c.front.Counters.Malformed++
				c.last = true // where its body ends is unknown
				c.answer(status, nil, 0)
				return
			}
			if size == 0 {
				return
			}
			c.req, c.buf = &r, c.buf[size:]
			if r.waits && len(c.buf) < r.length {
				c.line.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
		}
		if len(c.buf) < c.req.length {
			return
		}
		r, body := c.req, c.buf[:c.req.length:c.req.length]
		c.req, c.buf = nil, append([]byte(nil), c.buf[c.req.length:]...)
		c.last, c.pending = r.last, true
		c.whole++
		c.front.handle(c, r, body)
	}
}

// Closed forgets the client. What it asked for goes on: its sender comes again for the outcome.
func (c *client) Closed(error) { c.gone, c.buf, c.req = true, nil, nil }

func (c *client) close() {
	c.gone, c.buf, c.req = true, nil, nil
	c.line.Close()
}

// answer writes the one answer to the request in hand.
func (c *client) answer(status int, body []byte, after time.Duration) {
	whole := c.pending // the request was read to its end
	if c.pending = false; c.gone {
		return
	}
	extra := ""
	switch status {
	case 503:
		extra = fmt.Sprintf("Retry-After: %d\r\n", max(1, (after+time.Second-1)/time.Second))
	case 405:
		extra = "Allow: POST\r\n"
	}
	c.line.Write(response(status, len(body), c.last, extra), body)
	if c.last {
		c.gone, c.buf, c.req = true, nil, nil
		if whole {
			c.line.CloseAfterFlush()
		}
		// Else closing on what is still being sent would reset the connection, and the answer with
		// it: the client closes, or maxDrain or the idle limit does.
	}
}

// handle answers r or has its call run. Nothing has any effect before the signature is verified.
func (v *Receiver) handle(c *client, r *request, body []byte) {
	if string(r.target) != v.cfg.Receiver.Path {
		v.Counters.Malformed++
		c.answer(404, nil, 0)
		return
	}
	if string(r.method) != "POST" {
		v.Counters.Malformed++
		c.answer(405, nil, 0)
		return
	}
	v.Counters.Deliveries++
	id, err := verify(r, body, v.keys, v.wall(), v.cfg.Receiver.Tolerance)
	if err != nil {
		v.Counters.Unauthorized++
		v.complain("webhook_delivery_rejected", err)
		c.answer(401, nil, 0)
		return
	}
	digest := sha256.Sum256(body)
	sum := hex.EncodeToString(digest[:16])
	if o := v.outcomes[id]; o != nil {
		v.again(c, o, sum)
		return
	}
	req, at, err := v.read(body)
	if err != nil {
		v.Counters.Malformed++
		v.complain("webhook_delivery_malformed", err)
		c.answer(400, nil, 0)
		return
	}
	if len(v.outcomes) >= maxOutcomes || v.bytes > v.most {
		c.answer(503, nil, refusedFor)
		return
	}
	req.Client, req.ClientReference = c.peer, id
	o := &outcome{sum: sum, at: at, waiting: []*client{c}}
	k := v.list[req.Class]
	if k.RequiresIdempotencyKey {
		name := sha256.Sum256([]byte(id))
		req.IdempotencyKey = hex.EncodeToString(name[:16])
	}
	if k.NotIdempotent {
		o.order = true
		if v.ledger == nil {
			v.Counters.LedgerRefused++
			c.answer(503, nil, refusedFor)
			return
		}
		v.outcomes[id] = o
		v.ledger.begin(entry{ID: id, At: at, Sum: sum}, func(err error) {
			v.post(func() { v.entered(id, o, req, err) })
		})
		return
	}
	v.outcomes[id] = o
	v.start(id, o, req)
}

// complain logs why a delivery was not let in, at most once a second: whoever can connect could
// fill the log otherwise. The counters have them all.
func (v *Receiver) complain(event string, err error) {
	if now := v.clock(); now >= v.quiet {
		v.quiet = now + time.Second
		slog.Warn(event, "front", "webhook", "err", err)
	}
}

// again answers a redelivery with the first outcome, once there is one.
func (v *Receiver) again(c *client, o *outcome, sum string) {
	switch {
	case o.sum != sum: // a sender may not give an id to another payload
		v.Counters.Malformed++
		c.answer(400, nil, 0)
	case o.settled:
		v.Counters.Replayed++
		c.answer(o.status, o.body, 0)
	case len(o.waiting) >= 16:
		c.answer(503, nil, refusedFor)
	default:
		v.Counters.Joined++
		o.waiting = append(o.waiting, c)
	}
}

// read reads a payload that was verified.
func (v *Receiver) read(body []byte) (r router.Request, at time.Time, err error) {
	var p payload
	if err := json.Unmarshal(body, &p); err != nil {
		return r, at, err
	}
	class, ok := v.classes[p.Data.Class]
	switch {
	case p.Type != callType:
		return r, at, fmt.Errorf("type is not %s", callType)
	case !ok:
		return r, at, errors.New("unknown class")
	case len(p.Data.Tenant) > maxTenant:
		return r, at, errors.New("tenant is too long")
	case len(p.Data.Body) > maxCall:
		return r, at, errors.New("body is too long")
	}
	f, ok := router.ParseFunctionKey(p.Data.Key)
	if !ok {
		return r, at, errors.New("key is not 16 hex digits in lower case")
	}
	if !router.InRange(p.Data.WaitMs, router.MaxWaitMs) || !router.InRange(p.Data.MemoryMB, router.MaxMemoryMB) ||
		!router.InRange(p.Data.Lanes, router.MaxLanes) || !router.InRange(p.Data.LoadMs, router.MaxLoadMs) {
		return r, at, errors.New("a figure is out of range")
	}
	k, l := v.list[class], v.cfg.Receiver.Ledger
	// What is older than the ledger reaches may have run and been forgotten.
	if age := v.wall().Sub(p.Timestamp); k.NotIdempotent && (age > l.Retention-2*v.cfg.Receiver.Tolerance || age < -v.cfg.Receiver.Tolerance) {
		return r, at, errors.New("the order's timestamp is outside the ledger's retention")
	}
	wait := time.Duration(p.Data.WaitMs * 1e6)
	if wait == 0 || wait > k.MaxWait {
		wait = k.MaxWait
	}
	return router.Request{Front: router.Webhook, Class: class, ID: newID(), FunctionKey: p.Data.Key, Function: policy.FunctionID(f), Tenant: p.Data.Tenant,
		MemoryMB: p.Data.MemoryMB, Lanes: p.Data.Lanes, LoadTime: time.Duration(p.Data.LoadMs * 1e6),
		Body: p.Data.Body, Deadline: v.clock() + wait - router.ResponseMargin}, p.Timestamp, nil
}

// newID returns a request id for the workers; they know nothing of webhook-ids.
func newID() string {
	var b [8]byte
	rand.Read(b[:]) // never fails
	return fmt.Sprintf("%016x", binary.BigEndian.Uint64(b[:]))
}

// entered goes on once the ledger has answered for an order.
func (v *Receiver) entered(id string, o *outcome, req router.Request, err error) {
	if err != nil {
		v.Counters.LedgerRefused++
		delete(v.outcomes, id)
		o.answer(503, nil, refusedFor)
		return
	}
	v.start(id, o, req)
}

func (v *Receiver) start(id string, o *outcome, req router.Request) {
	req.Asker = &asker{v, id, o}
	v.core.Accept(v.clock(), req)
}

type asker struct {
	front *Receiver
	id    string
	o     *outcome
}

// Respond settles the outcome and answers all that wait for it.
func (k *asker) Respond(a router.Response) {
	v, o := k.front, k.o
	if a.Status == router.Rejected && !a.MayHaveRun { // proven unrun: the id may come again
		delete(v.outcomes, k.id)
		if o.order {
			v.ledger.settle(entry{ID: k.id, At: o.at, Sum: o.sum, State: freed})
		}
		if a.DeadlineExceeded {
			o.answer(504, nil, 0)
		} else {
			o.answer(503, nil, a.RetryAfter)
		}
		return
	}
	o.settled, o.since = true, v.clock()
	switch {
	case a.Status == router.Served:
		o.status, o.body = 200, a.Body
	case a.DeadlineExceeded:
		o.status = 504
	default:
		// Also a refusal of what may have run: coming again with this id brings nothing else.
		o.status = 502
	}
	v.bytes += len(o.body)
	if o.order {
		v.ledger.settle(entry{ID: k.id, At: o.at, Sum: o.sum, State: ended, Status: o.status, Body: o.body})
	}
	o.answer(o.status, o.body, 0)
}

func (o *outcome) answer(status int, body []byte, after time.Duration) {
	waiting := o.waiting
	o.waiting = nil
	for _, c := range waiting {
		c.answer(status, body, after)
		c.next()
	}
}

// Sweep forgets outcomes whose time is over.
func (v *Receiver) Sweep(now time.Duration) {
	wall := v.wall()
	for id, o := range v.outcomes {
		over := o.settled && now-o.since > v.cfg.Receiver.DedupeFor
		if o.order {
			over = o.settled && wall.Sub(o.at) > v.cfg.Receiver.Ledger.Retention
		}
		if over {
			delete(v.outcomes, id)
			v.bytes -= len(o.body)
		}
	}
}
