// Package thrift is the platform's front: framed Thrift with the strict binary protocol.
package thrift

import (
	"bytes"
	"encoding/binary"
	"log/slog"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"crankhold/internal/eventloop"
	"crankhold/internal/router"
	"crankhold/policy"
)

// maxOpenRequests is how many calls one connection may have open. Clients keep to 32, but may not have heard
// of an end yet. What goes beyond is refused, so that one that sends hundreds at once leaves room.
const maxOpenRequests = 64

// Core is what the front hands requests to.
type Core interface {
	Accept(now time.Duration, r router.Request) policy.RequestID
	RejectUnaccepted(now time.Duration, r router.Request)
	CancelRequest(now time.Duration, id policy.RequestID)
}

// Transport is a connection to a client; an eventloop.Conn is one.
type Transport interface {
	Write(bufs ...[]byte)
	Close()
}

// Front serves Thrift clients.
type Front struct {
	core              Core
	config            Config
	classIndex        map[string]int
	clock             func() time.Duration
	ready             func() bool
	closedConnections rateLimitedCount // for breaking the protocol
	rejectedRequests  rateLimitedCount // calls with a field that can't be used
}

// Class is a class of calls.
type Class struct {
	Name                   string
	RequiresIdempotencyKey bool // a call names an idempotency key, by which workers drop its repeats
}

// Config is what the settings say of calls.
type Config struct {
	Classes []Class
	Tenants []string // none: who asks is not told apart
}

// rateLimitedCount counts what is logged at most once a second: whoever can connect could fill the log otherwise.
type rateLimitedCount struct {
	count      int
	reportedAt time.Duration
}

// add counts one more and returns how many there were since the log last told, or 0 where it is not to tell yet.
func (s *rateLimitedCount) add(now time.Duration) int {
	if s.count++; s.reportedAt > 0 && now-s.reportedAt <= time.Second {
		return 0
	}
	n := s.count
	s.count, s.reportedAt = 0, now
	return n
}

// New returns a Front. Ready tells what check answers.
func New(core Core, cfg Config, clock func() time.Duration, ready func() bool) *Front {
	f := &Front{core: core, config: cfg, classIndex: map[string]int{}, clock: clock, ready: ready}
	for i, k := range cfg.Classes {
		f.classIndex[k.Name] = i
	}
	return f
}

// Accept serves a connection.
func (f *Front) Accept(c *eventloop.Conn) eventloop.AcceptedHandler {
	return f.serve(c, c.RemoteAddr())
}

func (f *Front) serve(line Transport, peer netip.AddrPort) *connection {
	return &connection{front: f, transport: line, peer: peer, open: map[uint32]*openRequest{}}
}

type connection struct {
	front        *Front
	transport    Transport
	peer         netip.AddrPort
	partial      []byte // the beginning of a frame
	open         map[uint32]*openRequest
	lastSequence uint32 // the highest sequence number of a call
	messageCount int    // messages
	closed       bool
}

type openRequest struct {
	connection *connection
	sequence   uint32
	id         policy.RequestID
	completed  bool
}

// Busy tells whether answers are owed.
func (c *connection) Busy() bool { return len(c.open) > 0 }

// Messages is how many whole ones have come, and whether the beginning of another has.
func (c *connection) Messages() (whole int, begun bool) { return c.messageCount, len(c.partial) > 0 }

// Data takes in frames, split in any way. The beginning of one stays in a buffer that grows with it, so
// that a frame that comes a few bytes at a time is not copied anew for each of them.
func (c *connection) Data(b []byte) {
	if c.closed {
		return
	}
	if len(c.partial) > 0 {
		c.partial = append(c.partial, b...)
		b = c.partial
	}
	whole := c.messageCount
	for len(b) >= 4 && !c.closed {
		size := binary.BigEndian.Uint32(b)
		if size > maxFrame {
			c.closeMalformed(errMalformedMessage)
			return
		}
		if len(b)-4 < int(size) {
			break
		}
		frame := b[4 : 4+size]
		b = b[4+size:]
		c.messageCount++
		if err := c.handleMessage(frame); err != nil {
			c.closeMalformed(err)
			return
		}
	}
	if c.closed || len(c.partial) > 0 && c.messageCount == whole {
		return
	}
	c.partial = append([]byte(nil), b...) // a copy, so that a large read is not kept for its tail
}

// closeMalformed closes the connection of a client that broke the protocol.
func (c *connection) closeMalformed(err error) {
	f := c.front
	if n := f.closedConnections.add(f.clock()); n > 0 {
		slog.Warn("client_connections_closed", "front", "thrift", "count", n, "err", err)
	}
	c.transport.Close()
	c.cancelAll()
}

// Closed gives up all that is open: nobody waits for it.
func (c *connection) Closed(error) { c.cancelAll() }

func (c *connection) cancelAll() {
	c.closed, c.partial = true, nil
	for _, k := range c.open {
		k.cancel()
	}
}

func (k *openRequest) cancel() {
	delete(k.connection.open, k.sequence)
	if !k.completed {
		k.completed = true
		k.connection.front.core.CancelRequest(k.connection.front.clock(), k.id)
	}
}

func (c *connection) handleMessage(frame []byte) error {
	r := decoder{remaining: frame}
	m, err := r.messageHeader()
	if err != nil {
		return err
	}
	switch {
	case m.name == "execute" && m.kind == messageCall:
		return c.execute(&r, m)
	case m.name == "interrupt" && (m.kind == messageOneway || m.kind == messageCall):
		var seq uint32
		err := r.structFields(func(typ byte, id uint16) bool {
			if id != 1 || typ != wireI32 {
				return false
			}
			seq = r.u32()
			return true
		})
		if k := c.open[seq]; err == nil && k != nil {
			k.cancel()
		}
		return err
	case m.name == "check" && m.kind == messageCall:
		if err := r.structFields(func(byte, uint16) bool { return false }); err != nil {
			return err
		}
		c.transport.Write(encodeResult("check", m.sequence, 0, c.front.ready())...)
		return nil
	case m.kind == messageCall:
		c.transport.Write(encodeUnknownMethod(m.name, m.sequence))
		return nil
	case m.kind == messageOneway:
		return nil
	}
	return errMalformedMessage
}

// execute hands a call to the core. Whatever is wrong with it, short of its form, is answered.
func (c *connection) execute(r *decoder, m messageHeader) error {
	var fields map[string][]byte
	var body []byte
	err := r.structFields(func(typ byte, id uint16) bool {
		switch {
		case id == 1 && typ == wireMap:
			fields = r.stringMap()
		case id == 2 && typ == wireString:
			body = r.bytes()
		default:
			return false
		}
		return true
	})
	if err != nil {
		return err
	}
	// Numbers climb. Under one that was used before, an answer could be taken for the other call's.
	if m.sequence <= c.lastSequence || m.sequence > math.MaxInt32 || len(body) > maxBody {
		return errMalformedMessage
	}
	c.lastSequence = m.sequence
	req, reason := c.front.decodeRequest(fields)
	if reason != "" {
		if n := c.front.rejectedRequests.add(c.front.clock()); n > 0 {
			v := fields[reason]
			slog.Warn("client_request_field_rejected", "front", "thrift", "field", reason, "value", string(v[:min(len(v), 64)]), "count", n)
		}
		c.transport.Write(encodeLost(m.sequence, "reason", reason))
		return nil
	}
	k := &openRequest{connection: c, sequence: m.sequence}
	req.Asker, req.Client = k, c.peer
	if len(c.open) >= maxOpenRequests {
		c.front.core.RejectUnaccepted(c.front.clock(), req)
		return nil
	}
	req.Body = bytes.Clone(body) // a large read is not kept for one small body in it
	c.open[m.sequence] = k
	if id := c.front.core.Accept(c.front.clock(), req); !k.completed {
		k.id = id
	}
	return nil
}

// decodeRequest reads the fields; reason says what is wrong with them.
func (f *Front) decodeRequest(fields map[string][]byte) (r router.Request, reason string) {
	class, ok := f.classIndex[string(fields["class"])]
	if !ok {
		return r, "class"
	}
	r = router.Request{Front: router.Thrift, Class: class, ID: string(fields["id"]), FunctionKey: string(fields["key"])}
	if _, ok := router.ParseFunctionKey(r.ID); !ok {
		return r, "id"
	}
	key, ok := router.ParseFunctionKey(r.FunctionKey)
	if !ok {
		return r, "key"
	}
	r.Function = policy.FunctionID(key)
	if r.IdempotencyKey = string(fields["once"]); r.IdempotencyKey == "" && f.config.Classes[class].RequiresIdempotencyKey || r.IdempotencyKey != "" && !router.ParseIdempotencyKey(r.IdempotencyKey) {
		// Without a key no worker can drop a repeat, and a call is not passed on otherwise than it came.
		return r, "once"
	}
	if name, told := fields["tenant"]; told && len(f.config.Tenants) > 0 {
		if r.Tenant = string(name); !slices.Contains(f.config.Tenants, r.Tenant) {
			return r, "tenant"
		}
	}
	wait, err := strconv.ParseFloat(string(fields["wait"]), 64)
	if err != nil || !router.InRange(wait, router.MaxWaitMs) {
		return r, "wait"
	}
	r.Deadline = f.clock() + time.Duration(wait*1e6) - router.ResponseMargin
	for text := string(fields["props"]); text != ""; {
		var pair string
		pair, text, _ = strings.Cut(text, ";")
		name, value, _ := strings.Cut(pair, ":")
		v, err := strconv.ParseFloat(value, 64)
		most := math.MaxFloat64
		switch name {
		case "memory_mb":
			r.MemoryMB, most = v, router.MaxMemoryMB
		case "lanes":
			r.Lanes, most = v, router.MaxLanes
		case "load_ms":
			r.LoadTime, most = time.Duration(v*1e6), router.MaxLoadMs
		}
		if err != nil || !router.InRange(v, most) {
			return r, "props"
		}
	}
	return r, ""
}

// Respond writes the final answer. A client that has left is owed none.
func (k *openRequest) Respond(a router.Response) {
	if k.completed {
		return
	}
	k.completed = true
	delete(k.connection.open, k.sequence)
	switch a.Status {
	case router.Served:
		head := encodeResult("execute", k.sequence, len(a.Body), true)
		k.connection.transport.Write(head[0], a.Body, head[1])
	case router.Rejected:
		ms := (a.RetryAfter + time.Millisecond - 1) / time.Millisecond
		k.connection.transport.Write(encodeBackoff(k.sequence, strconv.FormatInt(int64(ms), 10)))
	default:
		k.connection.transport.Write(encodeLost(k.sequence))
	}
}

// encodeResult returns an Answer's frame as what comes before its body and what comes after.
func encodeResult(name string, seq uint32, body int, good bool) [][]byte {
	b := appendMessageHeader(make([]byte, 0, 64), messageReply, name, seq)
	b = appendField(b, wireStruct, 0)
	b = appendField(b, wireString, 1)
	b = binary.BigEndian.AppendUint32(b, uint32(body))
	tail := appendStringMap(appendField(nil, wireMap, 2))
	tail = appendField(tail, wireBool, 3)
	if good {
		tail = append(tail, 1)
	} else {
		tail = append(tail, 0)
	}
	tail = append(tail, wireStop, wireStop)
	return [][]byte{finishFrame(b, body+len(tail)), tail}
}

// encodeBackoff returns the frame of a Backoff.
func encodeBackoff(seq uint32, after string) []byte {
	return encodeDeclaredException(seq, 1, "after", after)
}

// encodeLost returns the frame of a Lost.
func encodeLost(seq uint32, pairs ...string) []byte { return encodeDeclaredException(seq, 2, pairs...) }

func encodeDeclaredException(seq uint32, id uint16, pairs ...string) []byte {
	b := appendMessageHeader(make([]byte, 0, 64), messageReply, "execute", seq)
	b = appendField(b, wireStruct, id)
	b = appendStringMap(appendField(b, wireMap, 1), pairs...)
	return finishFrame(append(b, wireStop, wireStop), 0)
}

// encodeUnknownMethod returns the application exception for a method that there is not.
func encodeUnknownMethod(name string, seq uint32) []byte {
	b := appendMessageHeader(nil, messageException, name, seq)
	b = appendString(appendField(b, wireString, 1), "unknown method")
	b = binary.BigEndian.AppendUint32(appendField(b, wireI32, 2), 1)
	return finishFrame(append(b, wireStop), 0)
}
