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
	maxConnectionsPerWorker = 10  // to one worker
	idleCloseRatio          = 0.8 // part of the told keep-alive after which we close an idle connection

	// A connection with calls out on which no whole answer came for minSilenceBeforePing, and for longer than is usual,
	// is asked for a sign of life and takes nothing new meanwhile. It ends once it has given none for
	// pingTimeout though the worker has answered, on another one, what was sent after that.
	minSilenceBeforePing   = 150 * time.Millisecond
	pingTimeout            = 250 * time.Millisecond
	partialResponseTimeout = 600 * time.Millisecond // the rest of an answer that has begun is not waited for any longer

	maxHealthCheckResends = 2 // times that a probe is sent again after its connection broke

	partKept = 4 << 10 // a larger buffer is let go once it is empty
)

var (
	errResponseStalled = errors.New("answer does not go on")
	errSilent          = errors.New("connection is silent while others to the worker are not")
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
	cfg                   Config
	results               ResultHandler
	now                   time.Duration
	workers               map[policy.WorkerID]*worker
	workersInOrder        []*worker // the same, as they came: equal runs must do equal things
	attempts              map[router.Attempt]*command
	pingSequence          uint64
	silence               silenceEstimate
	dialsInProgress       int // under way
	ignoredFields         int // fields of answers that were passed over since the log told
	ignoredFieldsLoggedAt time.Duration
	Counters              Counters
}

// Counters tells what became of connections.
type Counters struct {
	Dials, DialsFailed, RecoveryDials, RecoveryDialsFailed uint64
	CallsResent                                            uint64 // calls that never left one connection and went to another
	Pings                                                  uint64 // connections asked for a sign of life
}

type worker struct {
	id           policy.WorkerID
	addresses    *endpoint.AddressSet
	listed       []endpoint.Addr // as told last
	ready        bool
	gone         bool
	connections  []*conn
	recoveryDial *recoveryDial
}

// command is a RUN, a HOLD, a probe or a ping.
type command struct {
	kind            commandKind
	attempt         router.Attempt
	tag             uint64
	token           string
	header          []byte
	body            []byte
	conn            *conn
	written         bool
	lostConnections int // probe: connections that ended under it
	resends         int // connections that ended before it had left whole
	endOffset       int // where it ends in what was written to its connection
	budget          time.Duration
	sentAt          time.Duration
}

type commandKind uint8

const (
	runCommand commandKind = iota
	loadCommand
	healthCheckCommand
	pingCommand // a connection's own probe, of which nobody else hears
)

type conn struct {
	pool            *Pool
	worker          *worker
	race            *endpoint.DialRace
	dials           []*dial
	winner          *dial     // the one that came up
	transport       Transport // of it
	addr            endpoint.Addr
	bytesWritten    int // bytes
	up              bool
	closing         bool                // closed by us, or retired: it takes nothing new
	shut            bool                // closed by us: what still comes counts for nothing
	inFlight        map[string]*command // by token
	recentIDs       idHistory           // ids of calls that are no longer open
	queued          []*command          // behind the dial
	runsInFlight    int
	lastUsed        time.Duration
	lastResponse    time.Duration // when the last whole answer came
	lastRunResponse time.Duration // when the last one to a call did
	latestAnswered  time.Duration // when the latest of the calls was sent that have been answered
	pingedAt        time.Duration // when it was asked for a sign of life that hasn't come; 0: it was not
	partial         []byte        // the beginning of an answer
	partialSince    time.Duration // when that came
}

// New returns a Pool that knows no worker.
func New(cfg Config, sink ResultHandler) *Pool {
	return &Pool{cfg: cfg, results: sink, workers: map[policy.WorkerID]*worker{}, attempts: map[router.Attempt]*command{},
		silence: silenceEstimate{peak: cfg.SlowestObjective}}
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
		w = &worker{id: id, addresses: endpoint.NewAddressSet(p.cfg.Seed ^ uint64(id))}
		p.workers[id] = w
		p.workersInOrder = append(p.workersInOrder, w)
	}
	w.addresses.Prefer(prefer...)
	if len(addrs) > 0 && !slices.Equal(addrs, w.listed) {
		// It restarted elsewhere, or has fewer addresses; whatever listens at an old one may be another worker.
		w.listed = slices.Clone(addrs)
		w.addresses.Update(p.now, addrs)
		for _, c := range slices.Clone(w.connections) {
			if c.up && !w.addresses.Has(c.addr) {
				c.drain()
			} else if !c.up {
				c.redial()
			}
		}
		w.cancelRecoveryDial()
	}
	if w.ready = state == policy.Ready; !w.ready {
		for _, c := range slices.Clone(w.connections) {
			if c.failQueued(); !c.up && len(c.queued) == 0 {
				c.drain() // nobody waits for this dial
			}
		}
		w.cancelRecoveryDial()
	}
	if w.gone = state == policy.Gone; w.gone {
		p.CloseIdle(id)
	}
}

// RetainWorkers takes every worker that is not present for gone.
func (p *Pool) RetainWorkers(present map[policy.WorkerID]bool) {
	for _, w := range p.workersInOrder {
		if !present[w.id] {
			p.SetWorker(w.id, nil, policy.Gone)
		}
	}
}

// StartAttempt sends a call.
func (p *Pool) StartAttempt(id policy.WorkerID, a router.Attempt, r *router.Request, budget time.Duration) {
	k := &command{kind: runCommand, attempt: a, token: r.ID, body: r.Body, budget: budget}
	fields := fmt.Sprintf("queue=%s,path=%s,budget=%d", p.cfg.Classes[r.Class], r.FunctionKey, max(budget.Milliseconds(), 1))
	if r.IdempotencyKey != "" {
		fields += ",uniq=" + r.IdempotencyKey
	}
	k.header = encodeHeader(len(r.Body), "RUN", r.ID, fields)
	if w := p.workers[id]; w != nil && w.ready {
		if c := p.pickConnection(w, k); c != nil {
			p.attempts[a] = k
			c.send(k)
			return
		}
	}
	p.results.AttemptCompleted(a, router.AttemptResult{Outcome: policy.Unreachable})
}

// CancelAttempt gives a call up that was written. Its connection does not carry its id again: an answer on its way must not
// end another attempt of the same request.
func (p *Pool) CancelAttempt(id policy.WorkerID, a router.Attempt) {
	k := p.attempts[a]
	if k == nil || p.WithdrawUnsent(id, a) {
		return
	}
	delete(p.attempts, a)
	k.conn.remove(k)
	if p.cfg.CancelSupported {
		k.conn.write(encodeArray("STOP", k.token))
	}
}

// WithdrawUnsent takes back a call that waits behind a dial, and tells whether it did: then nothing of it has left, nor
// ever will.
func (p *Pool) WithdrawUnsent(_ policy.WorkerID, a router.Attempt) bool {
	k := p.attempts[a]
	if k == nil || k.written {
		return false
	}
	delete(p.attempts, a)
	k.conn.dequeue(k)
	return true
}

// Load sends an order to load; a count of 0 only asks.
func (p *Pool) Load(id policy.WorkerID, f policy.FunctionID, count int, tag uint64) {
	k := &command{kind: loadCommand, tag: tag, token: "h" + strconv.FormatUint(tag, 10)}
	k.header = encodeArray("HOLD", k.token, fmt.Sprintf("path=%016x,count=%d", uint64(f), count))
	p.ask(id, k, count > 0)
}

// CheckHealth asks whether a worker answers, and for its load report.
func (p *Pool) CheckHealth(id policy.WorkerID, tag uint64) {
	k := &command{kind: healthCheckCommand, tag: tag, token: "p" + strconv.FormatUint(tag, 10)}
	k.header = encodeArray("INFO", k.token)
	p.ask(id, k, false)
}

func (p *Pool) ask(id policy.WorkerID, k *command, onlyReady bool) {
	if w := p.workers[id]; w != nil && (w.ready || !onlyReady) {
		if c := p.pickConnection(w, k); c != nil {
			c.send(k)
			return
		}
	}
	p.fail(k, policy.Unreachable)
}

// AbandonCommand drops interest in an order or a probe.
func (p *Pool) AbandonCommand(id policy.WorkerID, tag uint64) {
	if w := p.workers[id]; w != nil {
		for _, c := range w.connections {
			for _, letter := range []string{"h", "p"} {
				if k := c.inFlight[letter+strconv.FormatUint(tag, 10)]; k != nil {
					c.dequeue(k)
					c.remove(k)
				}
			}
		}
	}
}

// Unload has a worker unload the idle copies of a function. Without a connection there is nothing
// that is worth a dial: idle copies go by themselves.
func (p *Pool) Unload(id policy.WorkerID, f policy.FunctionID) {
	if w := p.workers[id]; w != nil {
		for _, c := range w.connections {
			if c.up {
				c.write(encodeArray("FREE", fmt.Sprintf("%016x", uint64(f))))
				return
			}
		}
	}
}

// CloseIdle closes the connections to a worker on which nothing is open.
func (p *Pool) CloseIdle(id policy.WorkerID) {
	if w := p.workers[id]; w != nil {
		for _, c := range w.connections {
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
	for _, w := range p.workersInOrder {
		for _, c := range slices.Clone(w.connections) {
			c.recentIDs.rotate(now)
			switch {
			case !c.up:
				c.startDials() // another address, where it is time
			case !c.closing && (c.recentIDs.full() || w.addresses.HasBetter(now, c.addr)):
				c.drain() // one that can remember no more ids takes no calls, and would keep its place for seconds
			case c.closing && !c.idle():
			case c.idle() && (c.closing || now-c.lastUsed > time.Duration(idleCloseRatio*float64(p.cfg.KeepAlive))):
				c.close()
			default:
				c.checkLiveness()
			}
		}
		p.maintainRecoveryDial(w)
		if w.gone && len(w.connections) == 0 {
			delete(p.workers, w.id)
		}
	}
	p.workersInOrder = slices.DeleteFunc(p.workersInOrder, func(w *worker) bool { return p.workers[w.id] != w })
}

// checkLiveness looks after a connection that owes answers. One that is cut off stays open and says nothing,
// while others to the same worker may be well: the worker as a whole is then no reason to go elsewhere.
// Bytes prove nothing here, only whole answers do.
func (c *conn) checkLiveness() {
	now := c.pool.now
	if len(c.partial) > 0 && now-c.partialSince > partialResponseTimeout {
		c.closeWithError(errResponseStalled)
		return
	}
	if quiet, owes := c.silentFor(c.lastResponse); !owes || quiet <= max(minSilenceBeforePing, c.pool.silence.typicalMaximum()) {
		return
	}
	if c.pingedAt == 0 {
		c.pingedAt = now
		c.pool.Counters.Pings++
		c.worker.addresses.Suspect(now, c.addr)
		c.pool.pingSequence++
		k := &command{kind: pingCommand, token: "n" + strconv.FormatUint(c.pool.pingSequence, 10)}
		k.header = encodeArray("NOOP", k.token)
		c.send(k)
		return
	}
	if now-c.pingedAt > pingTimeout && slices.ContainsFunc(c.worker.connections, func(o *conn) bool { return o.latestAnswered > c.pingedAt }) {
		c.worker.addresses.Failed(now, c.addr)
		c.closeWithError(errSilent)
	}
}

// silentFor is for how long c has owed the answer to a call and, since heard, brought none. Owes is false where it owes
// none.
func (c *conn) silentFor(heard time.Duration) (since time.Duration, owes bool) {
	for _, k := range c.inFlight {
		if k.kind == runCommand && k.written && (!owes || k.sentAt < since) {
			since, owes = k.sentAt, true
		}
	}
	return c.pool.now - max(since, heard), owes
}

// stalled tells whether an answer has begun on c and does not go on: what is sent there now would be lost with it.
func (c *conn) stalled() bool {
	return len(c.partial) > 0 && c.pool.now-c.partialSince > minSilenceBeforePing
}

// closeWithError ends a connection that is of no further use.
func (c *conn) closeWithError(err error) {
	slog.Warn("worker_connection_closed", "addr", c.addr, "err", err)
	c.close()
}

// close ends the connection; Closed follows. Nothing new goes to it: it would count as written.
func (c *conn) close() {
	c.closing, c.shut = true, true
	if c.transport != nil {
		c.transport.Close()
	}
	c.cancelDials()
}

// pickConnection returns the connection for k: one that is up, else one that is being dialled, else a new
// one, and a quiet one only where no more may be opened. None has carried another call of k's id, and
// none holds more calls than a worker takes on one.
func (p *Pool) pickConnection(w *worker, k *command) *conn {
	var best *conn
	rank := 0
	for _, c := range w.connections {
		if c.closing || c.inFlight[k.token] != nil || k.kind == runCommand &&
			(c.runsInFlight >= p.cfg.MaxCallsPerConnection || c.recentIDs.has(k.token) || c.recentIDs.full()) {
			continue
		}
		r := 2
		if c.pingedAt > 0 || c.stalled() {
			r = 1
		} else if c.up {
			r = 3
		}
		if r > rank {
			best, rank = c, r
		}
	}
	if rank > 1 || len(w.connections) >= maxConnectionsPerWorker || w.addresses.Len() == 0 || !p.ensureCapacity() {
		return best
	}
	c := &conn{pool: p, worker: w, inFlight: map[string]*command{}, lastUsed: p.now, race: endpoint.NewDialRace(w.addresses.Candidates(), p.cfg.DialTimeout, k.budget)}
	w.connections = append(w.connections, c)
	c.startDials()
	return c
}

// ensureCapacity tells whether one more connection may be opened. At the limit the one that has been idle for
// longest gives way, so that workers that come late get theirs.
func (p *Pool) ensureCapacity() bool {
	n, idle := 0, (*conn)(nil)
	for _, w := range p.workersInOrder {
		if w.recoveryDial != nil {
			n++
		}
		for _, c := range w.connections {
			n += max(len(c.dials), 1)
			if c.up && !c.closing && c.idle() && (idle == nil || c.lastUsed < idle.lastUsed) {
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

func (c *conn) idle() bool { return len(c.inFlight) == 0 }

func (c *conn) send(k *command) {
	k.conn, c.inFlight[k.token] = c, k
	if k.kind == runCommand {
		c.runsInFlight++
	}
	if !c.up {
		c.queued = append(c.queued, k)
		return
	}
	c.writeCommand(k)
}

func (c *conn) writeCommand(k *command) {
	k.written, k.sentAt, c.lastUsed = true, c.pool.now, c.pool.now
	if k.kind == runCommand {
		c.write(k.header, k.body, lineEnd)
	} else {
		c.write(k.header)
	}
	k.endOffset = c.bytesWritten
}

// write writes to the connection and counts.
func (c *conn) write(bufs ...[]byte) {
	for _, b := range bufs {
		c.bytesWritten += len(b)
	}
	c.transport.Write(bufs...)
}

var lineEnd = []byte("\r\n")

func (c *conn) dequeue(k *command) {
	for i, q := range c.queued {
		if q == k {
			c.queued = append(c.queued[:i], c.queued[i+1:]...)
			c.remove(k)
			return
		}
	}
}

// failQueued ends what waits behind the dial, probes aside: it never left.
func (c *conn) failQueued() {
	var keep []*command
	for _, k := range c.queued {
		if k.kind == healthCheckCommand {
			keep = append(keep, k)
			continue
		}
		c.remove(k)
		if k.kind == loadCommand {
			c.pool.fail(k, policy.Overloaded) // as a draining worker would have answered
		} else {
			c.pool.fail(k, policy.Unreachable)
		}
	}
	c.queued = keep
}

// resend sends a call that never left over another connection.
func (p *Pool) resend(w *worker, k *command) {
	k.written, k.resends = false, k.resends+1
	p.Counters.CallsResent++
	if c := p.pickConnection(w, k); c != nil {
		c.send(k)
		return
	}
	p.fail(k, policy.Unreachable)
}

// drain has c take nothing new; it closes once its calls have ended.
func (c *conn) drain() {
	if !c.up || c.idle() {
		c.close()
		if !c.up {
			c.terminate(policy.Unreachable)
		}
		return
	}
	c.closing = true
}

// remove removes k from what is open, if it still is. The id of a call that was written is not used here
// again.
func (c *conn) remove(k *command) {
	if c.inFlight[k.token] != k {
		return
	}
	delete(c.inFlight, k.token)
	if k.kind == runCommand {
		c.runsInFlight--
		if k.written {
			c.recentIDs.add(k.token)
		}
	}
}

// fail reports an fail that no answer told.
func (p *Pool) fail(k *command, o policy.Outcome) {
	switch k.kind {
	case runCommand:
		delete(p.attempts, k.attempt)
		p.results.AttemptCompleted(k.attempt, router.AttemptResult{Outcome: o})
	case loadCommand:
		p.results.LoadCompleted(k.tag, o, 0)
	case healthCheckCommand:
		p.results.HealthCheckCompleted(k.tag, o, nil)
	}
}

// writeQueued hands over what waited for the connection to come up.
func (c *conn) writeQueued() {
	queue := c.queued
	c.queued = nil
	for _, k := range queue {
		c.writeCommand(k)
	}
}

// Closed is the end of the connection: what left whole may have run.
func (c *conn) Closed(error) {
	if c.lastResponse == 0 && !c.shut {
		c.worker.addresses.Failed(c.pool.now, c.addr) // it came up and was of no use
	}
	c.terminate(policy.ConnectionReset)
}

// maxResends bounds the connections that may end under a call before it has left.
const maxResends = 3

// terminate ends all that is open on c. What waits for a dial never left, nor did a call of which some byte is still
// here: a worker counts what has come whole, so it goes to another connection of the same worker. Any
// other may have run.
func (c *conn) terminate(o policy.Outcome) {
	left := c.bytesWritten
	if c.transport != nil {
		left -= c.transport.UnsentBytes()
	}
	w := c.worker
	for i, other := range w.connections {
		if other == c {
			w.connections = append(w.connections[:i], w.connections[i+1:]...)
			break
		}
	}
	open := c.commandsInOrder()
	clear(c.inFlight)
	c.queued = nil
	for _, k := range open {
		if k.kind < healthCheckCommand && k.written && k.endOffset > left && k.resends < maxResends && w.ready {
			c.pool.resend(w, k)
			continue
		}
		if o == policy.ConnectionReset && k.kind < healthCheckCommand && k.written && k.endOffset > left {
			c.pool.fail(k, policy.Unreachable)
			continue
		}
		if k.kind == healthCheckCommand && o == policy.ConnectionReset && k.lostConnections < maxHealthCheckResends {
			// A connection that breaks tells nothing of its worker, which others may well be using. Over a
			// new one a worker that died refuses, and one that is well answers.
			again := &command{kind: healthCheckCommand, tag: k.tag, token: k.token, lostConnections: k.lostConnections + 1, header: encodeArray("INFO", k.token)}
			c.pool.ask(w.id, again, false)
			continue
		}
		c.pool.fail(k, o)
	}
}

// commandsInOrder returns the open calls in a fixed order: equal runs must hand the module equal events.
func (c *conn) commandsInOrder() []*command {
	out := make([]*command, 0, len(c.inFlight))
	for _, k := range c.inFlight {
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
	if len(c.partial) > 0 {
		c.partial = append(c.partial, b...)
		b = c.partial
	}
	whole := false
	var room [maxElements][]byte
	for len(b) > 0 {
		words, n, err := decodeArray(b, room[:0])
		if err == nil && n > 0 {
			err = c.handleResponse(words)
		}
		if err != nil {
			c.partial = nil
			c.closeWithError(err)
			return
		}
		if n == 0 {
			break
		}
		b, whole = b[n:], true
	}
	if len(b) > 0 && (whole || len(c.partial) == 0) {
		c.partialSince = c.pool.now
	}
	if c.partial = append(c.partial[:0], b...); len(b) == 0 && cap(c.partial) > partKept {
		c.partial = nil
	}
}

// handleResponse takes in one: ID WORD FIELDS BODY, or TAG PONG.
func (c *conn) handleResponse(words [][]byte) error {
	if len(words) < 2 {
		return errMalformedResponse
	}
	k := c.inFlight[string(words[0])]
	if k != nil && k.kind == runCommand {
		if string(words[1]) == "HIT" { // a miss comes at once and tells of no call that runs
			quiet, _ := c.silentFor(c.lastRunResponse) // signs of life don't count: they were asked for because it was long
			c.pool.silence.observe(quiet)
		}
		c.lastRunResponse = c.pool.now
	}
	c.lastResponse, c.pingedAt = c.pool.now, 0
	c.worker.addresses.Responded(c.addr)
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
	word, report := string(words[1]), c.pool.report(findField(fields, "use"))
	o, known := outcomes[word]
	switch {
	case !known || k.kind >= healthCheckCommand != (word == "PONG" || word == "SICK"):
		return errMalformedResponse
	case !k.written:
		return errMalformedResponse // answered before it was sent
	}
	c.remove(k)
	c.lastUsed, c.latestAnswered = c.pool.now, max(c.latestAnswered, k.sentAt)
	switch k.kind {
	case pingCommand:
	case loadCommand:
		count, _ := strconv.Atoi(string(findField(fields, "count")))
		c.pool.results.LoadCompleted(k.tag, o, count)
	case healthCheckCommand:
		c.pool.results.HealthCheckCompleted(k.tag, o, report)
	default:
		delete(c.pool.attempts, k.attempt)
		c.pool.results.AttemptCompleted(k.attempt, router.AttemptResult{Outcome: o, LoadStatus: notes[string(findField(fields, "detail"))],
			Concurrency: c.concurrency(findField(fields, "crowd")), Body: bytes.Clone(body), LoadReport: report})
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

// maxConcurrency bounds what a crowd may say: no worker's queue holds so many.
const maxConcurrency = 1 << 20

// concurrency reads how many calls of the function the worker held; absent is none. One that can't be is passed over: the
// answer is good all the same.
func (c *conn) concurrency(text []byte) int {
	if len(text) == 0 {
		return 0
	}
	n, err := strconv.Atoi(string(text))
	if err != nil || n < 0 || n > maxConcurrency {
		c.logIgnoredField("crowd", text)
		return 0
	}
	return n
}

// logIgnoredField logs a field of an answer that is passed over, at most once a second: a worker could fill the log otherwise.
func (c *conn) logIgnoredField(name string, text []byte) {
	p := c.pool
	if p.ignoredFields++; p.ignoredFieldsLoggedAt == 0 || p.now-p.ignoredFieldsLoggedAt > time.Second {
		slog.Warn("worker_response_field_ignored", "addr", c.addr, "field", name, "value", string(text[:min(len(text), 32)]), "count", p.ignoredFields)
		p.ignoredFields, p.ignoredFieldsLoggedAt = 0, p.now
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
