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
	maxOutcomes       = 20000       // remembered deliveries; beyond it new ones are refused
	maxDrainedBytes   = 256 << 10   // bytes read and dropped behind a malformed request
	maxTenantLength   = 128         // bytes of a tenant's name
	defaultRetryAfter = time.Second // Retry-After where the module gives no advice
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
	cfg              *Config
	core             Core
	classIndex       map[string]int
	classes          []Class
	clock            func() time.Duration
	wallClock        func() time.Time
	post             func(func())
	keys             []signingKey
	ledger           *ledger
	outcomes         map[string]*outcome
	outcomeBytes     int
	maxOutcomeBytes  int           // bytes of answers' bodies that are remembered; beyond it new deliveries are refused
	nextRejectionLog time.Duration // no complaint is logged before
	Counters         Counters
}

// outcome is what is known of a webhook-id.
type outcome struct {
	bodyDigest  string
	eventTime   time.Time // of the event, for orders
	inLedger    bool
	completed   bool
	status      int
	body        []byte
	completedAt time.Duration // when it settled
	joined      []*connection
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
	v := &Receiver{cfg: cfg, core: core, classIndex: map[string]int{}, classes: classes, maxOutcomeBytes: most, clock: clock, wallClock: wall, post: post,
		outcomes: map[string]*outcome{}}
	for i, c := range classes {
		v.classIndex[c.Name] = i
	}
	for _, k := range cfg.Receiver.Keys {
		secret, err := readKey(k.File)
		if err != nil {
			return nil, err
		}
		v.keys = append(v.keys, signingKey{secret, k.Until})
	}
	if l := cfg.Receiver.Ledger; l.Path != "" {
		var entries []ledgerEntry
		var err error
		if v.ledger, entries, err = openLedger(l.Path, l.MaxBytes, l.Retention, wall); err != nil {
			return nil, err
		}
		for _, e := range entries {
			o := &outcome{bodyDigest: e.BodyDigest, eventTime: e.EventTime, inLedger: true, completed: true, status: e.Status, body: e.Body}
			if e.State == stateBegun { // its run may have happened, and nothing is known of how it ended
				o.status, o.body = 502, nil
			}
			v.outcomes[e.ID] = o
			v.outcomeBytes += len(o.body)
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

func (v *Receiver) serve(line Transport, peer netip.AddrPort) *connection {
	return &connection{receiver: v, transport: line, peer: peer}
}

// connection is a connection. It has one request at a time; what follows it waits in buf.
type connection struct {
	receiver           *Receiver
	transport          Transport
	peer               netip.AddrPort
	buffer             []byte
	partialRequest     *httpRequest // its head has come, its body has not; it points into head
	closed             bool
	responsePending    bool // an answer is owed
	closeAfterResponse bool
	requestCount       int // requests
	drainedBytes       int // bytes read and dropped behind the last answer
}

// Busy tells whether an answer is owed.
func (c *connection) Busy() bool { return c.responsePending }

// Messages is how many whole requests have come, and whether the beginning of another has; what a client
// sends behind the last answer is no more than that.
func (c *connection) Messages() (whole int, begun bool) {
	return c.requestCount, c.closed || c.partialRequest != nil || len(c.buffer) > 0
}

// Data takes in requests, split in any way.
func (c *connection) Data(b []byte) {
	if c.closed {
		if c.drainedBytes += len(b); c.drainedBytes > maxDrainedBytes {
			c.transport.Close()
		}
		return
	}
	c.buffer = append(c.buffer, b...)
	if c.responsePending && len(c.buffer) > maxHeadBytes+maxDeliveryBody {
		c.close() // it sends on without hearing the answer
		return
	}
	c.handleBuffered()
}

// handleBuffered handles what has come whole.
func (c *connection) handleBuffered() {
	for !c.responsePending && !c.closed && len(c.buffer) > 0 {
		if c.partialRequest == nil {
			r, size, status := parseHead(c.buffer)
			if status != 0 {
				c.receiver.Counters.Malformed++
				c.closeAfterResponse = true // where its body ends is unknown
				c.respond(status, nil, 0)
				return
			}
			if size == 0 {
				return
			}
			c.partialRequest, c.buffer = &r, c.buffer[size:]
			if r.expectsContinue && len(c.buffer) < r.bodyLength {
				c.transport.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
		}
		if len(c.buffer) < c.partialRequest.bodyLength {
			return
		}
		r, body := c.partialRequest, c.buffer[:c.partialRequest.bodyLength:c.partialRequest.bodyLength]
		c.partialRequest, c.buffer = nil, append([]byte(nil), c.buffer[c.partialRequest.bodyLength:]...)
		c.closeAfterResponse, c.responsePending = r.closeRequested, true
		c.requestCount++
		c.receiver.handle(c, r, body)
	}
}

// Closed forgets the client. What it asked for goes on: its sender comes again for the outcome.
func (c *connection) Closed(error) { c.closed, c.buffer, c.partialRequest = true, nil, nil }

func (c *connection) close() {
	c.closed, c.buffer, c.partialRequest = true, nil, nil
	c.transport.Close()
}

// respond writes the one respond to the request in hand.
func (c *connection) respond(status int, body []byte, after time.Duration) {
	whole := c.responsePending // the request was read to its end
	if c.responsePending = false; c.closed {
		return
	}
	extra := ""
	switch status {
	case 503:
		extra = fmt.Sprintf("Retry-After: %d\r\n", max(1, (after+time.Second-1)/time.Second))
	case 405:
		extra = "Allow: POST\r\n"
	}
	c.transport.Write(appendResponseHead(status, len(body), c.closeAfterResponse, extra), body)
	if c.closeAfterResponse {
		c.closed, c.buffer, c.partialRequest = true, nil, nil
		if whole {
			c.transport.CloseAfterFlush()
		}
		// Else closing on what is still being sent would reset the connection, and the answer with
		// it: the client closes, or maxDrainedBytes or the idle limit does.
	}
}

// handle answers r or has its call run. Nothing has any effect before the signature is verified.
func (v *Receiver) handle(c *connection, r *httpRequest, body []byte) {
	if string(r.target) != v.cfg.Receiver.Path {
		v.Counters.Malformed++
		c.respond(404, nil, 0)
		return
	}
	if string(r.method) != "POST" {
		v.Counters.Malformed++
		c.respond(405, nil, 0)
		return
	}
	v.Counters.Deliveries++
	id, err := verify(r, body, v.keys, v.wallClock(), v.cfg.Receiver.Tolerance)
	if err != nil {
		v.Counters.Unauthorized++
		v.logRejection("webhook_delivery_rejected", err)
		c.respond(401, nil, 0)
		return
	}
	digest := sha256.Sum256(body)
	sum := hex.EncodeToString(digest[:16])
	if o := v.outcomes[id]; o != nil {
		v.handleRedelivery(c, o, sum)
		return
	}
	req, at, err := v.decodeRequest(body)
	if err != nil {
		v.Counters.Malformed++
		v.logRejection("webhook_delivery_malformed", err)
		c.respond(400, nil, 0)
		return
	}
	if len(v.outcomes) >= maxOutcomes || v.outcomeBytes > v.maxOutcomeBytes {
		c.respond(503, nil, defaultRetryAfter)
		return
	}
	req.Client, req.ClientReference = c.peer, id
	o := &outcome{bodyDigest: sum, eventTime: at, joined: []*connection{c}}
	k := v.classes[req.Class]
	if k.RequiresIdempotencyKey {
		name := sha256.Sum256([]byte(id))
		req.IdempotencyKey = hex.EncodeToString(name[:16])
	}
	if k.NotIdempotent {
		o.inLedger = true
		if v.ledger == nil {
			v.Counters.LedgerRefused++
			c.respond(503, nil, defaultRetryAfter)
			return
		}
		v.outcomes[id] = o
		v.ledger.begin(ledgerEntry{ID: id, EventTime: at, BodyDigest: sum}, func(err error) {
			v.post(func() { v.ledgerRecorded(id, o, req, err) })
		})
		return
	}
	v.outcomes[id] = o
	v.forward(id, o, req)
}

// logRejection logs why a delivery was not let in, at most once a second: whoever can connect could
// fill the log otherwise. The counters have them all.
func (v *Receiver) logRejection(event string, err error) {
	if now := v.clock(); now >= v.nextRejectionLog {
		v.nextRejectionLog = now + time.Second
		slog.Warn(event, "front", "webhook", "err", err)
	}
}

// handleRedelivery answers a redelivery with the first outcome, once there is one.
func (v *Receiver) handleRedelivery(c *connection, o *outcome, sum string) {
	switch {
	case o.bodyDigest != sum: // a sender may not give an id to another payload
		v.Counters.Malformed++
		c.respond(400, nil, 0)
	case o.completed:
		v.Counters.Replayed++
		c.respond(o.status, o.body, 0)
	case len(o.joined) >= 16:
		c.respond(503, nil, defaultRetryAfter)
	default:
		v.Counters.Joined++
		o.joined = append(o.joined, c)
	}
}

// decodeRequest reads a payload that was verified.
func (v *Receiver) decodeRequest(body []byte) (r router.Request, at time.Time, err error) {
	var p payload
	if err := json.Unmarshal(body, &p); err != nil {
		return r, at, err
	}
	class, ok := v.classIndex[p.Data.Class]
	switch {
	case p.Type != callType:
		return r, at, fmt.Errorf("type is not %s", callType)
	case !ok:
		return r, at, errors.New("unknown class")
	case len(p.Data.Tenant) > maxTenantLength:
		return r, at, errors.New("tenant is too long")
	case len(p.Data.Body) > maxRequestBody:
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
	k, l := v.classes[class], v.cfg.Receiver.Ledger
	// What is older than the ledger reaches may have run and been forgotten.
	if age := v.wallClock().Sub(p.Timestamp); k.NotIdempotent && (age > l.Retention-2*v.cfg.Receiver.Tolerance || age < -v.cfg.Receiver.Tolerance) {
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

// ledgerRecorded goes on once the ledger has answered for an order.
func (v *Receiver) ledgerRecorded(id string, o *outcome, req router.Request, err error) {
	if err != nil {
		v.Counters.LedgerRefused++
		delete(v.outcomes, id)
		o.respondToAll(503, nil, defaultRetryAfter)
		return
	}
	v.forward(id, o, req)
}

func (v *Receiver) forward(id string, o *outcome, req router.Request) {
	req.Asker = &outcomeResponder{v, id, o}
	v.core.Accept(v.clock(), req)
}

type outcomeResponder struct {
	receiver *Receiver
	id       string
	outcome  *outcome
}

// Respond settles the outcome and answers all that wait for it.
func (k *outcomeResponder) Respond(a router.Response) {
	v, o := k.receiver, k.outcome
	if a.Status == router.Rejected && !a.MayHaveRun { // proven unrun: the id may come again
		delete(v.outcomes, k.id)
		if o.inLedger {
			v.ledger.settle(ledgerEntry{ID: k.id, EventTime: o.eventTime, BodyDigest: o.bodyDigest, State: stateFreed})
		}
		if a.DeadlineExceeded {
			o.respondToAll(504, nil, 0)
		} else {
			o.respondToAll(503, nil, a.RetryAfter)
		}
		return
	}
	o.completed, o.completedAt = true, v.clock()
	switch {
	case a.Status == router.Served:
		o.status, o.body = 200, a.Body
	case a.DeadlineExceeded:
		o.status = 504
	default:
		// Also a refusal of what may have run: coming again with this id brings nothing else.
		o.status = 502
	}
	v.outcomeBytes += len(o.body)
	if o.inLedger {
		v.ledger.settle(ledgerEntry{ID: k.id, EventTime: o.eventTime, BodyDigest: o.bodyDigest, State: stateEnded, Status: o.status, Body: o.body})
	}
	o.respondToAll(o.status, o.body, 0)
}

func (o *outcome) respondToAll(status int, body []byte, after time.Duration) {
	waiting := o.joined
	o.joined = nil
	for _, c := range waiting {
		c.respond(status, body, after)
		c.handleBuffered()
	}
}

// Sweep forgets outcomes whose time is over.
func (v *Receiver) Sweep(now time.Duration) {
	wall := v.wallClock()
	for id, o := range v.outcomes {
		over := o.completed && now-o.completedAt > v.cfg.Receiver.DedupeFor
		if o.inLedger {
			over = o.completed && wall.Sub(o.eventTime) > v.cfg.Receiver.Ledger.Retention
		}
		if over {
			delete(v.outcomes, id)
			v.outcomeBytes -= len(o.body)
		}
	}
}
