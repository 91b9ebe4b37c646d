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

// maxOpen is how many calls one connection may have open. Clients keep to 32, but may not have heard
// of an end yet. What goes beyond is refused, so that one that sends hundreds at once leaves room.
const maxOpen = 64

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
	core    Core
	cfg     Config
	classes map[string]int
	clock   func() time.Duration
	ready   func() bool
	closed  sums // for breaking the protocol
	unread  sums // calls with a field that can't be used
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

// sums counts what is logged at most once a second: whoever can connect could fill the log otherwise.
type sums struct {
	count int
	told  time.Duration
}

// add counts one more and returns how many there were since the log last told, or 0 where it is not to tell yet.
func (s *sums) add(now time.Duration) int {
	if s.count++; s.told > 0 && now-s.told <= time.Second {
		return 0
	}
	n := s.count
	s.count, s.told = 0, now
	return n
}

// New returns a Front. Ready tells what check answers.
func New(core Core, cfg Config, clock func() time.Duration, ready func() bool) *Front {
	f := &Front{core: core, cfg: cfg, classes: map[string]int{}, clock: clock, ready: ready}
	for i, k := range cfg.Classes {
		f.classes[k.Name] = i
	}
	return f
}

// Accept serves a connection.
func (f *Front) Accept(c *eventloop.Conn) eventloop.AcceptedHandler {
	return f.serve(c, c.RemoteAddr())
}

func (f *Front) serve(line Transport, peer netip.AddrPort) *client {
	return &client{front: f, line: line, peer: peer, open: map[uint32]*call{}}
}

type client struct {
	front *Front
	line  Transport
	peer  netip.AddrPort
	part  []byte // the beginning of a frame
	open  map[uint32]*call
	last  uint32 // the highest sequence number of a call
	whole int    // messages
	gone  bool
}

type call struct {
	client *client
	seq    uint32
	id     policy.RequestID
	done   bool
}

// Busy tells whether answers are owed.
func (c *client) Busy() bool { return len(c.open) > 0 }

// Messages is how many whole ones have come, and whether the beginning of another has.
func (c *client) Messages() (whole int, begun bool) { return c.whole, len(c.part) > 0 }

// Data takes in frames, split in any way. The beginning of one stays in a buffer that grows with it, so
// that a frame that comes a few bytes at a time is not copied anew for each of them.
func (c *client) Data(b []byte) {
	if c.gone {
		return
	}
	if len(c.part) > 0 {
		c.part = append(c.part, b...)
		b = c.part
	}
	whole := c.whole
	for len(b) >= 4 && !c.gone {
		size := binary.BigEndian.Uint32(b)
		if size > maxFrame {
			c.reject(errSyntax)
			return
		}
		if len(b)-4 < int(size) {
			break
		}
		frame := b[4 : 4+size]
		b = b[4+size:]
		c.whole++
		if err := c.message(frame); err != nil {
			c.reject(err)
			return
		}
	}
	if c.gone || len(c.part) > 0 && c.whole == whole {
		return
	}
	c.part = append([]byte(nil), b...) // a copy, so that a large read is not kept for its tail
}

// reject closes the connection of a client that broke the protocol.
func (c *client) reject(err error) {
	f := c.front
	if n := f.closed.add(f.clock()); n > 0 {
		slog.Warn("client_connections_closed", "front", "thrift", "count", n, "err", err)
	}
	c.line.Close()
	c.leave()
}

// Closed gives up all that is open: nobody waits for it.
func (c *client) Closed(error) { c.leave() }

func (c *client) leave() {
	c.gone, c.part = true, nil
	for _, k := range c.open {
		k.leave()
	}
}

func (k *call) leave() {
	delete(k.client.open, k.seq)
	if !k.done {
		k.done = true
		k.client.front.core.CancelRequest(k.client.front.clock(), k.id)
	}
}

func (c *client) message(frame []byte) error {
	r := reader{b: frame}
	m, err := r.message()
	if err != nil {
		return err
	}
	switch {
	case m.name == "execute" && m.kind == kindCall:
		return c.execute(&r, m)
	case m.name == "interrupt" && (m.kind == kindOneway || m.kind == kindCall):
		var seq uint32
		err := r.fields(func(typ byte, id uint16) bool {
			if id != 1 || typ != typeI32 {
				return false
			}
			seq = r.u32()
			return true
		})
		if k := c.open[seq]; err == nil && k != nil {
			k.leave()
		}
		return err
	case m.name == "check" && m.kind == kindCall:
		if err := r.fields(func(byte, uint16) bool { return false }); err != nil {
			return err
		}
		c.line.Write(answer("check", m.seq, 0, c.front.ready())...)
		return nil
	case m.kind == kindCall:
		c.line.Write(unknown(m.name, m.seq))
		return nil
	case m.kind == kindOneway:
		return nil
	}
	return errSyntax
}

// execute hands a call to the core. Whatever is wrong with it, short of its form, is answered.
func (c *client) execute(r *reader, m message) error {
	var fields map[string][]byte
	var body []byte
	err := r.fields(func(typ byte, id uint16) bool {
		switch {
		case id == 1 && typ == typeMap:
			fields = r.strings()
		case id == 2 && typ == typeString:
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
	if m.seq <= c.last || m.seq > math.MaxInt32 || len(body) > maxBody {
		return errSyntax
	}
	c.last = m.seq
	req, reason := c.front.request(fields)
	if reason != "" {
		if n := c.front.unread.add(c.front.clock()); n > 0 {
			v := fields[reason]
			slog.Warn("client_request_field_rejected", "front", "thrift", "field", reason, "value", string(v[:min(len(v), 64)]), "count", n)
		}
		c.line.Write(lost(m.seq, "reason", reason))
		return nil
	}
	k := &call{client: c, seq: m.seq}
	req.Asker, req.Client = k, c.peer
	if len(c.open) >= maxOpen {
		c.front.core.RejectUnaccepted(c.front.clock(), req)
		return nil
	}
	req.Body = bytes.Clone(body) // a large read is not kept for one small body in it
	c.open[m.seq] = k
	if id := c.front.core.Accept(c.front.clock(), req); !k.done {
		k.id = id
	}
	return nil
}

// request reads the fields; reason says what is wrong with them.
func (f *Front) request(fields map[string][]byte) (r router.Request, reason string) {
	class, ok := f.classes[string(fields["class"])]
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
	if r.IdempotencyKey = string(fields["once"]); r.IdempotencyKey == "" && f.cfg.Classes[class].RequiresIdempotencyKey || r.IdempotencyKey != "" && !router.ParseIdempotencyKey(r.IdempotencyKey) {
		// Without a key no worker can drop a repeat, and a call is not passed on otherwise than it came.
		return r, "once"
	}
	if name, told := fields["tenant"]; told && len(f.cfg.Tenants) > 0 {
		if r.Tenant = string(name); !slices.Contains(f.cfg.Tenants, r.Tenant) {
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
func (k *call) Respond(a router.Response) {
	if k.done {
		return
	}
	k.done = true
	delete(k.client.open, k.seq)
	switch a.Status {
	case router.Served:
		head := answer("execute", k.seq, len(a.Body), true)
		k.client.line.Write(head[0], a.Body, head[1])
	case router.Rejected:
		ms := (a.RetryAfter + time.Millisecond - 1) / time.Millisecond
		k.client.line.Write(refused(k.seq, strconv.FormatInt(int64(ms), 10)))
	default:
		k.client.line.Write(lost(k.seq))
	}
}

// answer returns an Answer's frame as what comes before its body and what comes after.
func answer(name string, seq uint32, body int, good bool) [][]byte {
	b := appendMessage(make([]byte, 0, 64), kindReply, name, seq)
	b = appendField(b, typeStruct, 0)
	b = appendField(b, typeString, 1)
	b = binary.BigEndian.AppendUint32(b, uint32(body))
	tail := appendStrings(appendField(nil, typeMap, 2))
	tail = appendField(tail, typeBool, 3)
	if good {
		tail = append(tail, 1)
	} else {
		tail = append(tail, 0)
	}
	tail = append(tail, typeStop, typeStop)
	return [][]byte{seal(b, body+len(tail)), tail}
}

// refused returns the frame of a Backoff.
func refused(seq uint32, after string) []byte { return exception(seq, 1, "after", after) }

// lost returns the frame of a Lost.
func lost(seq uint32, pairs ...string) []byte { return exception(seq, 2, pairs...) }

func exception(seq uint32, id uint16, pairs ...string) []byte {
	b := appendMessage(make([]byte, 0, 64), kindReply, "execute", seq)
	b = appendField(b, typeStruct, id)
	b = appendStrings(appendField(b, typeMap, 1), pairs...)
	return seal(append(b, typeStop, typeStop), 0)
}

// unknown returns the application exception for a method that there is not.
func unknown(name string, seq uint32) []byte {
	b := appendMessage(nil, kindException, name, seq)
	b = appendString(appendField(b, typeString, 1), "unknown method")
	b = binary.BigEndian.AppendUint32(appendField(b, typeI32, 2), 1)
	return seal(append(b, typeStop), 0)
}
