// Package workerclient speaks RESP with the workers: calls, orders to load and probes, many at a time on
// each connection.
package workerclient

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"crankhold/internal/endpoint"
	"crankhold/internal/eventloop"
	"crankhold/internal/router"
	"crankhold/policy"
)

const (
	maxConns   = 10  // to one worker
	idleMargin = 0.8 // part of the told keep-alive after which we close an idle connection

	// A connection with calls out on which no whole answer came for quietAfter, and for longer than is usual,
	// is asked for a sign of life and takes nothing new meanwhile. It ends once it has given none for
	// deadAfter though the worker has answered, on another one, what was sent after that.
	quietAfter = 150 * time.Millisecond
	deadAfter  = 250 * time.Millisecond
	stuckAfter = 600 * time.Millisecond // the rest of an answer that has begun is not waited for any longer

	probeTries = 2 // times that a probe is sent again after its connection broke

	partKept = 4 << 10 // a larger buffer is let go once it is empty
)

var (
	errStuck  = errors.New("answer does not go on")
	errSilent = errors.New("connection is silent while others to the worker are not")
)

// MaintenanceInterval is how often Sweep is to be called.
const MaintenanceInterval = 50 * time.Millisecond

// ResultHandler takes what came of calls, orders and probes; a router.Core is one.
type ResultHandler interface {
	AttemptCompleted(a router.Attempt, r router.AttemptResult)
	LoadCompleted(tag uint64, o policy.Outcome, count int)
	HealthCheckCompleted(tag uint64, o policy.Outcome, report []float64)
}

// Transport is a connection to a worker; an eventloop.Conn is one.
type Transport interface {
	Write(bufs ...[]byte)
	Close()
	// Unsent is how many of the last bytes that were written never left this program. It is for a line that has
	// ended: what a kernel took may have arrived.
	UnsentBytes() int
}

// Config holds the deployment's figures.
type Config struct {
	Classes               []string // their names
	ReportFields          []string
	DialTimeout           time.Duration
	KeepAlive             time.Duration // a worker closes a connection that is idle for so long
	SlowestObjective      time.Duration // within which the slowest class wants its answers
	MaxCallsPerConnection int           // calls at a time on one connection
	MaxConnections        int           // to all workers together
	CancelSupported       bool          // workers may be told that a call is given up
	Seed                  uint64        // spreads the back-offs of addresses that failed
	Dial                  func(network, addr string, timeout time.Duration, h eventloop.DialHandler) Transport
}

// Pool holds the connections to all workers.
type Pool struct {
	cfg      Config
	sink     ResultHandler
	now      time.Duration
	workers  map[policy.WorkerID]*worker
	order    []*worker // the same, as they came: equal runs must do equal things
	calls    map[router.Attempt]*call
	pings    uint64
	silence  silence
	dials    int // under way
	odd      int // fields of answers that were passed over since the log told
	oddTold  time.Duration
	Counters Counters
}

// Counters tells what became of connections.
type Counters struct {
	Dials, DialsFailed, RecoveryDials, RecoveryDialsFailed uint64
	CallsResent                                            uint64 // calls that never left one connection and went to another
	Pings                                                  uint64 // connections asked for a sign of life
}

type worker struct {
	id    policy.WorkerID
	paths *endpoint.AddressSet
	addrs []endpoint.Addr // as told last
	ready bool
	gone  bool
	conns []*conn
	trial *trial
}

// call is a RUN, a HOLD, a probe or a ping.
type call struct {
	kind    kind
	attempt router.Attempt
	tag     uint64
	token   string
	head    []byte
	body    []byte
	conn    *conn
	written bool
	broken  int // probe: connections that ended under it
	moved   int // connections that ended before it had left whole
	end     int // where it ends in what was written to its connection
	left    time.Duration
	sent    time.Duration
}

type kind uint8

const (
	run kind = iota
	hold
	probe
	ping // a connection's own probe, of which nobody else hears
)

type conn struct {
	pool    *Pool
	w       *worker
	race    *endpoint.DialRace
	dials   []*dial
	won     *dial     // the one that came up
	line    Transport // of it
	addr    endpoint.Addr
	wrote   int // bytes
	up      bool
	closing bool             // closed by us, or retired: it takes nothing new
	shut    bool             // closed by us: what still comes counts for nothing
	open    map[string]*call // by token
	ended   recent           // ids of calls that are no longer open
	queue   []*call          // behind the dial
	runs    int
	used    time.Duration
	heard   time.Duration // when the last whole answer came
	called  time.Duration // when the last one to a call did
	proved  time.Duration // when the latest of the calls was sent that have been answered
	pinged  time.Duration // when it was asked for a sign of life that hasn't come; 0: it was not
	part    []byte        // the beginning of an answer
	begun   time.Duration // when that came
}

// New returns a Pool that knows no worker.
func New(cfg Config, sink ResultHandler) *Pool {
	return &Pool{cfg: cfg, sink: sink, workers: map[policy.WorkerID]*worker{}, calls: map[router.Attempt]*call{},
		silence: silence{peak: cfg.SlowestObjective}}
}

// SetNow moves the clock on.
func (p *Pool) SetNow(now time.Duration) { p.now = max(p.now, now) }

// SetWorker tells of a worker's addresses, none for those that it has, and whether it takes anything new. What waits
// behind a dial to one that no longer does is ended unsent: its dial may come up after the time allowed for sends.
func (p *Pool) SetWorker(id policy.WorkerID, addrs []endpoint.Addr, state policy.WorkerState, prefer ...endpoint.Network) {
	w := p.workers[id]
	if w == nil {
		if state == policy.Gone {
			return
		}
		w = &worker{id: id, paths: endpoint.NewAddressSet(p.cfg.Seed ^ uint64(id))}
		p.workers[id] = w
		p.order = append(p.order, w)
	}
	w.paths.Prefer(prefer...)
	if len(addrs) > 0 && !slices.Equal(addrs, w.addrs) {
		// It restarted elsewhere, or has fewer addresses; whatever listens at an old one may be another worker.
		w.addrs = slices.Clone(addrs)
		w.paths.Update(p.now, addrs)
		for _, c := range slices.Clone(w.conns) {
			if c.up && !w.paths.Has(c.addr) {
				c.retire()
			} else if !c.up {
				c.restart()
			}
		}
		w.endTrial()
	}
	if w.ready = state == policy.Ready; !w.ready {
		for _, c := range slices.Clone(w.conns) {
			if c.dropQueue(); !c.up && len(c.queue) == 0 {
				c.retire() // nobody waits for this dial
			}
		}
		w.endTrial()
	}
	if w.gone = state == policy.Gone; w.gone {
		p.CloseIdle(id)
	}
}

// RetainWorkers takes every worker that is not present for gone.
func (p *Pool) RetainWorkers(present map[policy.WorkerID]bool) {
	for _, w := range p.order {
		if !present[w.id] {
			p.SetWorker(w.id, nil, policy.Gone)
		}
	}
}

// StartAttempt sends a call.
func (p *Pool) StartAttempt(id policy.WorkerID, a router.Attempt, r *router.Request, budget time.Duration) {
	k := &call{kind: run, attempt: a, token: r.ID, body: r.Body, left: budget}
	fields := fmt.Sprintf("queue=%s,path=%s,budget=%d", p.cfg.Classes[r.Class], r.FunctionKey, max(budget.Milliseconds(), 1))
	if r.IdempotencyKey != "" {
		fields += ",uniq=" + r.IdempotencyKey
	}
	k.head = frame(len(r.Body), "RUN", r.ID, fields)
	if w := p.workers[id]; w != nil && w.ready {
		if c := p.pick(w, k); c != nil {
			p.calls[a] = k
			c.send(k)
			return
		}
	}
	p.sink.AttemptCompleted(a, router.AttemptResult{Outcome: policy.Unreachable})
}

// CancelAttempt gives a call up that was written. Its connection does not carry its id again: an answer on its way must not
// end another attempt of the same request.
func (p *Pool) CancelAttempt(id policy.WorkerID, a router.Attempt) {
	k := p.calls[a]
	if k == nil || p.WithdrawUnsent(id, a) {
		return
	}
	delete(p.calls, a)
	k.conn.take(k)
	if p.cfg.CancelSupported {
		k.conn.put(array("STOP", k.token))
	}
}

// WithdrawUnsent takes back a call that waits behind a dial, and tells whether it did: then nothing of it has left, nor
// ever will.
func (p *Pool) WithdrawUnsent(_ policy.WorkerID, a router.Attempt) bool {
	k := p.calls[a]
	if k == nil || k.written {
		return false
	}
	delete(p.calls, a)
	k.conn.unqueue(k)
	return true
}

// Load sends an order to load; a count of 0 only asks.
func (p *Pool) Load(id policy.WorkerID, f policy.FunctionID, count int, tag uint64) {
	k := &call{kind: hold, tag: tag, token: "h" + strconv.FormatUint(tag, 10)}
	k.head = array("HOLD", k.token, fmt.Sprintf("path=%016x,count=%d", uint64(f), count))
	p.ask(id, k, count > 0)
}

// CheckHealth asks whether a worker answers, and for its load report.
func (p *Pool) CheckHealth(id policy.WorkerID, tag uint64) {
	k := &call{kind: probe, tag: tag, token: "p" + strconv.FormatUint(tag, 10)}
	k.head = array("INFO", k.token)
	p.ask(id, k, false)
}

func (p *Pool) ask(id policy.WorkerID, k *call, onlyReady bool) {
	if w := p.workers[id]; w != nil && (w.ready || !onlyReady) {
		if c := p.pick(w, k); c != nil {
			c.send(k)
			return
		}
	}
	p.end(k, policy.Unreachable)
}

// AbandonCommand drops interest in an order or a probe.
func (p *Pool) AbandonCommand(id policy.WorkerID, tag uint64) {
	if w := p.workers[id]; w != nil {
		for _, c := range w.conns {
			for _, letter := range []string{"h", "p"} {
				if k := c.open[letter+strconv.FormatUint(tag, 10)]; k != nil {
					c.unqueue(k)
					c.take(k)
				}
			}
		}
	}
}

// Unload has a worker unload the idle copies of a function. Without a connection there is nothing
// that is worth a dial: idle copies go by themselves.
func (p *Pool) Unload(id policy.WorkerID, f policy.FunctionID) {
	if w := p.workers[id]; w != nil {
		for _, c := range w.conns {
			if c.up {
				c.put(array("FREE", fmt.Sprintf("%016x", uint64(f))))
				return
			}
		}
	}
}

// CloseIdle closes the connections to a worker on which nothing is open.
func (p *Pool) CloseIdle(id policy.WorkerID) {
	if w := p.workers[id]; w != nil {
		for _, c := range w.conns {
			if c.up && c.idle() {
				c.close()
			}
		}
	}
}

// Maintain closes what has been idle for nearly as long as workers allow, before they do: a call that
// crossed their close would count as one that may have run. It also ends connections that have died
// without a word.
func (p *Pool) Maintain(now time.Duration) {
	p.SetNow(now)
	for _, w := range p.order {
		for _, c := range slices.Clone(w.conns) {
			c.ended.sweep(now)
			switch {
			case !c.up:
				c.dial() // another address, where it is time
			case !c.closing && (c.ended.full() || w.paths.HasBetter(now, c.addr)):
				c.retire() // one that can remember no more ids takes no calls, and would keep its place for seconds
			case c.closing && !c.idle():
			case c.idle() && (c.closing || now-c.used > time.Duration(idleMargin*float64(p.cfg.KeepAlive))):
				c.close()
			default:
				c.watch()
			}
		}
		p.try(w)
		if w.gone && len(w.conns) == 0 {
			delete(p.workers, w.id)
		}
	}
	p.order = slices.DeleteFunc(p.order, func(w *worker) bool { return p.workers[w.id] != w })
}

// watch looks after a connection that owes answers. One that is cut off stays open and says nothing,
// while others to the same worker may be well: the worker as a whole is then no reason to go elsewhere.
// Bytes prove nothing here, only whole answers do.
func (c *conn) watch() {
	now := c.pool.now
	if len(c.part) > 0 && now-c.begun > stuckAfter {
		c.fault(errStuck)
		return
	}
	if quiet, owes := c.quiet(c.heard); !owes || quiet <= max(quietAfter, c.pool.silence.usual()) {
		return
	}
	if c.pinged == 0 {
		c.pinged = now
		c.pool.Counters.Pings++
		c.w.paths.Suspect(now, c.addr)
		c.pool.pings++
		k := &call{kind: ping, token: "n" + strconv.FormatUint(c.pool.pings, 10)}
		k.head = array("NOOP", k.token)
		c.send(k)
		return
	}
	if now-c.pinged > deadAfter && slices.ContainsFunc(c.w.conns, func(o *conn) bool { return o.proved > c.pinged }) {
		c.w.paths.Failed(now, c.addr)
		c.fault(errSilent)
	}
}

// quiet is for how long c has owed the answer to a call and, since heard, brought none. Owes is false where it owes
// none.
func (c *conn) quiet(heard time.Duration) (since time.Duration, owes bool) {
	for _, k := range c.open {
		if k.kind == run && k.written && (!owes || k.sent < since) {
			since, owes = k.sent, true
		}
	}
	return c.pool.now - max(since, heard), owes
}

// halts tells whether an answer has begun on c and does not go on: what is sent there now would be lost with it.
func (c *conn) halts() bool { return len(c.part) > 0 && c.pool.now-c.begun > quietAfter }

// fault ends a connection that is of no further use.
func (c *conn) fault(err error) {
	slog.Warn("worker_connection_closed", "addr", c.addr, "err", err)
	c.close()
}

// close ends the connection; Closed follows. Nothing new goes to it: it would count as written.
func (c *conn) close() {
	c.closing, c.shut = true, true
	if c.line != nil {
		c.line.Close()
	}
	c.callOff()
}

// pick returns the connection for k: one that is up, else one that is being dialled, else a new
// one, and a quiet one only where no more may be opened. None has carried another call of k's id, and
// none holds more calls than a worker takes on one.
func (p *Pool) pick(w *worker, k *call) *conn {
	var best *conn
	rank := 0
	for _, c := range w.conns {
		if c.closing || c.open[k.token] != nil || k.kind == run &&
			(c.runs >= p.cfg.MaxCallsPerConnection || c.ended.has(k.token) || c.ended.full()) {
			continue
		}
		r := 2
		if c.pinged > 0 || c.halts() {
			r = 1
		} else if c.up {
			r = 3
		}
		if r > rank {
			best, rank = c, r
		}
	}
	if rank > 1 || len(w.conns) >= maxConns || w.paths.Len() == 0 || !p.room() {
		return best
	}
	c := &conn{pool: p, w: w, open: map[string]*call{}, used: p.now, race: endpoint.NewDialRace(w.paths.Candidates(), p.cfg.DialTimeout, k.left)}
	w.conns = append(w.conns, c)
	c.dial()
	return c
}

// room tells whether one more connection may be opened. At the limit the one that has been idle for
// longest gives way, so that workers that come late get theirs.
func (p *Pool) room() bool {
	n, idle := 0, (*conn)(nil)
	for _, w := range p.order {
		if w.trial != nil {
			n++
		}
		for _, c := range w.conns {
			n += max(len(c.dials), 1)
			if c.up && !c.closing && c.idle() && (idle == nil || c.used < idle.used) {
				idle = c
			}
		}
	}
	if n >= p.cfg.MaxConnections && idle != nil {
		idle.close()
		return true
	}
	return n < p.cfg.MaxConnections
}

func (c *conn) idle() bool { return len(c.open) == 0 }

func (c *conn) send(k *call) {
	k.conn, c.open[k.token] = c, k
	if k.kind == run {
		c.runs++
	}
	if !c.up {
		c.queue = append(c.queue, k)
		return
	}
	c.write(k)
}

func (c *conn) write(k *call) {
	k.written, k.sent, c.used = true, c.pool.now, c.pool.now
	if k.kind == run {
		c.put(k.head, k.body, lineEnd)
	} else {
		c.put(k.head)
	}
	k.end = c.wrote
}

// put writes to the connection and counts.
func (c *conn) put(bufs ...[]byte) {
	for _, b := range bufs {
		c.wrote += len(b)
	}
	c.line.Write(bufs...)
}

var lineEnd = []byte("\r\n")

func (c *conn) unqueue(k *call) {
	for i, q := range c.queue {
		if q == k {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			c.take(k)
			return
		}
	}
}

// dropQueue ends what waits behind the dial, probes aside: it never left.
func (c *conn) dropQueue() {
	var keep []*call
	for _, k := range c.queue {
		if k.kind == probe {
			keep = append(keep, k)
			continue
		}
		c.take(k)
		if k.kind == hold {
			c.pool.end(k, policy.Overloaded) // as a draining worker would have answered
		} else {
			c.pool.end(k, policy.Unreachable)
		}
	}
	c.queue = keep
}

// move sends a call that never left over another connection.
func (p *Pool) move(w *worker, k *call) {
	k.written, k.moved = false, k.moved+1
	p.Counters.CallsResent++
	if c := p.pick(w, k); c != nil {
		c.send(k)
		return
	}
	p.end(k, policy.Unreachable)
}

// retire has c take nothing new; it closes once its calls have ended.
func (c *conn) retire() {
	if !c.up || c.idle() {
		c.close()
		if !c.up {
			c.lost(policy.Unreachable)
		}
		return
	}
	c.closing = true
}

// take removes k from what is open, if it still is. The id of a call that was written is not used here
// again.
func (c *conn) take(k *call) {
	if c.open[k.token] != k {
		return
	}
	delete(c.open, k.token)
	if k.kind == run {
		c.runs--
		if k.written {
			c.ended.add(k.token)
		}
	}
}

// end reports an end that no answer told.
func (p *Pool) end(k *call, o policy.Outcome) {
	switch k.kind {
	case run:
		delete(p.calls, k.attempt)
		p.sink.AttemptCompleted(k.attempt, router.AttemptResult{Outcome: o})
	case hold:
		p.sink.LoadCompleted(k.tag, o, 0)
	case probe:
		p.sink.HealthCheckCompleted(k.tag, o, nil)
	}
}

// begin hands over what waited for the connection to come up.
func (c *conn) begin() {
	queue := c.queue
	c.queue = nil
	for _, k := range queue {
		c.write(k)
	}
}

// Closed is the end of the connection: what left whole may have run.
func (c *conn) Closed(error) {
	if c.heard == 0 && !c.shut {
		c.w.paths.Failed(c.pool.now, c.addr) // it came up and was of no use
	}
	c.lost(policy.ConnectionReset)
}

// mostMoves bounds the connections that may end under a call before it has left.
const mostMoves = 3

// lost ends all that is open on c. What waits for a dial never left, nor did a call of which some byte is still
// here: a worker counts what has come whole, so it goes to another connection of the same worker. Any
// other may have run.
func (c *conn) lost(o policy.Outcome) {
	left := c.wrote
	if c.line != nil {
		left -= c.line.UnsentBytes()
	}
	w := c.w
	for i, other := range w.conns {
		if other == c {
			w.conns = append(w.conns[:i], w.conns[i+1:]...)
			break
		}
	}
	open := c.sorted()
	clear(c.open)
	c.queue = nil
	for _, k := range open {
		if k.kind < probe && k.written && k.end > left && k.moved < mostMoves && w.ready {
			c.pool.move(w, k)
			continue
		}
		if o == policy.ConnectionReset && k.kind < probe && k.written && k.end > left {
			c.pool.end(k, policy.Unreachable)
			continue
		}
		if k.kind == probe && o == policy.ConnectionReset && k.broken < probeTries {
			// A connection that breaks tells nothing of its worker, which others may well be using. Over a
			// new one a worker that died refuses, and one that is well answers.
			again := &call{kind: probe, tag: k.tag, token: k.token, broken: k.broken + 1, head: array("INFO", k.token)}
			c.pool.ask(w.id, again, false)
			continue
		}
		c.pool.end(k, o)
	}
}

// sorted returns the open calls in a fixed order: equal runs must hand the module equal events.
func (c *conn) sorted() []*call {
	out := make([]*call, 0, len(c.open))
	for _, k := range c.open {
		out = append(out, k)
	}
	sortCalls(out)
	return out
}

// Data takes in answers. The beginning of one stays in a buffer that grows with it, so that an answer
// that comes a few bytes at a time is not copied anew for each of them.
func (c *conn) Data(b []byte) {
	if c.shut {
		return
	}
	if len(c.part) > 0 {
		c.part = append(c.part, b...)
		b = c.part
	}
	whole := false
	var room [maxWords][]byte
	for len(b) > 0 {
		words, n, err := next(b, room[:0])
		if err == nil && n > 0 {
			err = c.answer(words)
		}
		if err != nil {
			c.part = nil
			c.fault(err)
			return
		}
		if n == 0 {
			break
		}
		b, whole = b[n:], true
	}
	if len(b) > 0 && (whole || len(c.part) == 0) {
		c.begun = c.pool.now
	}
	if c.part = append(c.part[:0], b...); len(b) == 0 && cap(c.part) > partKept {
		c.part = nil
	}
}

// answer takes in one: ID WORD FIELDS BODY, or TAG PONG.
func (c *conn) answer(words [][]byte) error {
	if len(words) < 2 {
		return errSyntax
	}
	k := c.open[string(words[0])]
	if k != nil && k.kind == run {
		if string(words[1]) == "HIT" { // a miss comes at once and tells of no call that runs
			quiet, _ := c.quiet(c.called) // signs of life don't count: they were asked for because it was long
			c.pool.silence.see(quiet)
		}
		c.called = c.pool.now
	}
	c.heard, c.pinged = c.pool.now, 0
	c.w.paths.Responded(c.addr)
	if k == nil {
		return nil // a second copy, or of a call that was given up
	}
	var fields, body []byte
	if len(words) > 2 {
		fields = words[2]
	}
	if len(words) > 3 {
		body = words[3]
	}
	word, report := string(words[1]), c.pool.report(field(fields, "use"))
	o, known := outcomes[word]
	switch {
	case !known || k.kind >= probe != (word == "PONG" || word == "SICK"):
		return errSyntax
	case !k.written:
		return errSyntax // answered before it was sent
	}
	c.take(k)
	c.used, c.proved = c.pool.now, max(c.proved, k.sent)
	switch k.kind {
	case ping:
	case hold:
		count, _ := strconv.Atoi(string(field(fields, "count")))
		c.pool.sink.LoadCompleted(k.tag, o, count)
	case probe:
		c.pool.sink.HealthCheckCompleted(k.tag, o, report)
	default:
		delete(c.pool.calls, k.attempt)
		c.pool.sink.AttemptCompleted(k.attempt, router.AttemptResult{Outcome: o, LoadStatus: notes[string(field(fields, "detail"))],
			Concurrency: c.crowd(field(fields, "crowd")), Body: bytes.Clone(body), LoadReport: report})
	}
	return nil
}

// outcomes reads an answer's word exactly: only NONE, SHED and LATE prove that a call never ran.
var outcomes = map[string]policy.Outcome{
	"HIT": policy.Served, "NONE": policy.NotLoaded, "SHED": policy.Overloaded, "FAULT": policy.Failed,
	"LATE": policy.NotSent, "PONG": policy.Served, "SICK": policy.Failed,
}

var notes = map[string]policy.LoadStatus{
	"hot": policy.AlreadyLoaded, "started": policy.StartedLoad, "waited": policy.WaitedForLoad, "broken": policy.LoadFailed,
}

// mostCrowd bounds what a crowd may say: no worker's queue holds so many.
const mostCrowd = 1 << 20

// crowd reads how many calls of the function the worker held; absent is none. One that can't be is passed over: the
// answer is good all the same.
func (c *conn) crowd(text []byte) int {
	if len(text) == 0 {
		return 0
	}
	n, err := strconv.Atoi(string(text))
	if err != nil || n < 0 || n > mostCrowd {
		c.odd("crowd", text)
		return 0
	}
	return n
}

// odd logs a field of an answer that is passed over, at most once a second: a worker could fill the log otherwise.
func (c *conn) odd(name string, text []byte) {
	p := c.pool
	if p.odd++; p.oddTold == 0 || p.now-p.oddTold > time.Second {
		slog.Warn("worker_response_field_ignored", "addr", c.addr, "field", name, "value", string(text[:min(len(text), 32)]), "count", p.odd)
		p.odd, p.oddTold = 0, p.now
	}
}

// report reads a load report, name:value;name:value, in the settings' order. One that lacks a
// field tells nothing.
func (p *Pool) report(text []byte) []float64 {
	if len(text) == 0 {
		return nil
	}
	out := make([]float64, len(p.cfg.ReportFields))
	seen := 0
	for len(text) > 0 {
		var pair []byte
		pair, text, _ = bytes.Cut(text, []byte{';'})
		name, value, _ := bytes.Cut(pair, []byte{':'})
		for i, f := range p.cfg.ReportFields {
			if string(name) == f {
				if v, err := strconv.ParseFloat(string(value), 64); err == nil {
					out[i], seen = v, seen+1
				}
			}
		}
	}
	if seen < len(out) {
		return nil
	}
	return out
}
