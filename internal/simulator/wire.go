// Package simulator translates between the simulator's frames and the types of package policy.
// It only translates: every decision is taken by package policy.
package simulator

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"crankhold/policy"
)

// Event record codes.
const (
	codeFirst    = 1
	codeOutcome  = 2
	codeAborted  = 3
	codeKill     = 4
	codeHealth   = 5
	codeTargets  = 6
	codeReminder = 7
	codeMessage  = 8
	codeInit     = 9
	codeIncoming = 10
	codeReady    = 11
)

// Action record codes.
const (
	codeAfter     = 65
	codeHangUp    = 66
	codeDrop      = 67
	codePlace     = 69
	codeTell      = 70
	codeSubscribe = 71
	codeMount     = 72
	codeAskLoad   = 73
	codeUnmount   = 74
	codeWriteLog  = 75
	codeStop      = 76
	codeSnapshot  = 77
	codeDecline   = 78
)

const (
	maxFrame = 1 << 30
	allPeers = math.MaxUint32
)

// Init says that an instance starts with these settings and this seed.
type Init struct {
	Seed     uint64
	Settings []byte
}

// Kill says that an instance is killed.
type Kill struct{}

// Record is one decoded record: Event holds a policy.Event, an Init or a Kill.
type Record struct {
	Instance uint16
	Event    any
}

// Batch is one decoded batch.
type Batch struct {
	Seq     uint32
	Now     time.Duration
	Records []Record
}

// ReadBatch reads one batch. At a clean end of input it returns io.EOF.
func ReadBatch(r io.Reader) (Batch, error) {
	var head [20]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("truncated batch header: %w", err)
	}
	b := Batch{Seq: binary.BigEndian.Uint32(head[0:])}
	size, count := binary.BigEndian.Uint32(head[4:]), binary.BigEndian.Uint32(head[8:])
	clock := math.Float64frombits(binary.BigEndian.Uint64(head[12:]))
	if math.IsNaN(clock) || clock < 0 || clock > 1e12 {
		return Batch{}, fmt.Errorf("batch %d: bad clock", b.Seq)
	}
	b.Now = millis(clock)
	if size > maxFrame {
		return Batch{}, fmt.Errorf("batch %d: length %d is too large", b.Seq, size)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return Batch{}, fmt.Errorf("batch %d: %w", b.Seq, err)
	}
	if len(body) < int(size) {
		return Batch{}, fmt.Errorf("batch %d: truncated at byte %d of %d", b.Seq, len(body), size)
	}
	d := decoder{b: body}
	for i := uint32(0); i < count; i++ {
		rec, err := d.record()
		if err != nil {
			return Batch{}, fmt.Errorf("batch %d, record %d: %w", b.Seq, i, err)
		}
		b.Records = append(b.Records, rec)
	}
	if len(d.b) > 0 {
		return Batch{}, fmt.Errorf("batch %d: %d bytes left over", b.Seq, len(d.b))
	}
	return b, nil
}

// decoder takes fields off the front of b; the first shortage sticks in short.
type decoder struct {
	b     []byte
	short bool
}

func (d *decoder) take(n int) []byte {
	if n > len(d.b) {
		d.short = true
		d.b = nil
		return make([]byte, min(n, 16))
	}
	out := d.b[:n]
	d.b = d.b[n:]
	return out
}

func (d *decoder) u8() uint8           { return d.take(1)[0] }
func (d *decoder) u16() uint16         { return binary.BigEndian.Uint16(d.take(2)) }
func (d *decoder) u32() uint32         { return binary.BigEndian.Uint32(d.take(4)) }
func (d *decoder) u64() uint64         { return binary.BigEndian.Uint64(d.take(8)) }
func (d *decoder) f32() float64        { return float64(math.Float32frombits(d.u32())) }
func (d *decoder) f64() float64        { return math.Float64frombits(d.u64()) }
func (d *decoder) dur() time.Duration  { return millis(d.f64()) }
func (d *decoder) dur4() time.Duration { return millis(d.f32()) }

func (d *decoder) worker() policy.WorkerID {
	b := d.take(6)
	return policy.WorkerID(binary.BigEndian.Uint32(b))<<16 | policy.WorkerID(binary.BigEndian.Uint16(b[4:]))
}

func (d *decoder) report() []float64 {
	n := int(d.u8())
	if n*4 > len(d.b) {
		d.short = true
		return nil
	}
	var out []float64
	for range n {
		out = append(out, d.f32())
	}
	return out
}

func (d *decoder) bytes(n uint32) []byte {
	if uint64(n) > uint64(len(d.b)) {
		d.short = true
		d.b = nil
		return nil
	}
	return append([]byte(nil), d.take(int(n))...)
}

var outcomes = [...]policy.Outcome{policy.Served, policy.Failed, policy.Overloaded, policy.TimedOut,
	policy.Unreachable, policy.ConnectionReset, policy.Cancelled, policy.NotSent, policy.NotLoaded}

func (d *decoder) outcome() (policy.Outcome, error) {
	if rc := d.u8(); int(rc) < len(outcomes) {
		return outcomes[rc], nil
	} else {
		return 0, fmt.Errorf("unknown outcome %d", rc)
	}
}

// note splits the info byte of an outcome into the note and the crowd.
func note(info uint8) (policy.LoadStatus, int) {
	n := policy.LoadStatus(info & 7)
	if n > policy.LoadFailed {
		n = policy.LoadStatusUnknown
	}
	return n, int(info >> 3)
}

func (d *decoder) record() (Record, error) {
	code := d.u8()
	rec := Record{Instance: d.u16()}
	var err error
	switch code {
	case codeFirst:
		e := policy.ResponseStarted{Request: policy.RequestID(d.u32()), Attempt: int(d.u16())}
		d.worker()
		d.f64()
		rec.Event = e
	case codeOutcome:
		e := policy.AttemptCompleted{Request: policy.RequestID(d.u32()), Worker: d.worker()}
		e.LoadStatus, e.Concurrency = note(d.u8())
		e.Closed = d.u8() != 0
		e.Outcome, err = d.outcome()
		e.Attempt = int(d.u16())
		e.Took = d.dur()
		e.Report = d.report()
		rec.Event = e
	case codeAborted:
		rec.Event = policy.RequestCanceled{Request: policy.RequestID(d.u32())}
	case codeKill:
		rec.Event = Kill{}
	case codeHealth:
		e := policy.HealthCheckCompleted{Took: d.dur()}
		e.Outcome, err = d.outcome()
		e.Worker = d.worker()
		e.Report = d.report()
		rec.Event = e
	case codeTargets:
		rec.Event, err = d.targets()
	case codeReminder:
		rec.Event = policy.TimerFired{Token: d.u64()}
	case codeMessage:
		e := policy.GossipReceived{From: int(d.u16())}
		e.Data = d.bytes(uint32(d.u16()))
		rec.Event = e
	case codeInit:
		e := Init{Seed: d.u64()}
		e.Settings = d.bytes(d.u32())
		rec.Event = e
	case codeIncoming:
		e := policy.RequestArrived{Request: policy.RequestID(d.u32()), Tenant: int(d.u16()), LoadTime: d.dur4()}
		bits := d.u8()
		e.IsRetry = bits&2 != 0
		e.Function = policy.FunctionID(d.u64())
		e.Lanes, e.MemoryMB = d.f32(), d.f32()
		e.Class = int(d.u16())
		if work := d.dur(); bits&1 != 0 {
			e.Work = work
		}
		e.Remaining = d.dur()
		rec.Event = e
	case codeReady:
		e := policy.LoadCompleted{Worker: d.worker(), Function: policy.FunctionID(d.u64())}
		e.Outcome, err = d.outcome()
		e.Took = d.dur()
		e.Count = int(d.u8())
		rec.Event = e
	default:
		return rec, fmt.Errorf("unknown record code %d", code)
	}
	if d.short {
		return rec, errors.New("record is cut short")
	}
	return rec, err
}

func (d *decoder) targets() (policy.EndpointList, error) {
	const entryBytes = 24
	mode := d.u8()
	d.u32()
	n := d.u32()
	if mode > uint8(policy.EndpointListFailed) {
		return policy.EndpointList{}, fmt.Errorf("unknown list mode %d", mode)
	}
	if uint64(n)*entryBytes > uint64(len(d.b)) {
		d.short = true
		return policy.EndpointList{}, nil
	}
	l := policy.EndpointList{Kind: policy.EndpointListKind(mode)}
	for range n {
		e := policy.Endpoint{Worker: d.worker(), Zone: int(d.u16())}
		state := d.u8()
		if state > uint8(policy.Draining) {
			return l, fmt.Errorf("unknown worker state %d", state)
		}
		e.State = policy.WorkerState(state)
		e.Weight = d.f32()
		e.Cell = int(d.u16())
		d.u8()
		e.Started = d.dur()
		l.Workers = append(l.Workers, e)
	}
	return l, nil
}

// Reply gathers the actions that answer one batch.
type Reply struct{ b []byte }

// Add appends an instance's actions.
func (r *Reply) Add(instance uint16, actions []policy.Action) {
	for _, a := range actions {
		r.add(instance, a)
	}
}

func (r *Reply) add(instance uint16, a policy.Action) {
	be := binary.BigEndian
	head := func(code uint8) { r.b = be.AppendUint16(append(r.b, code), instance) }
	u32 := func(v uint32) { r.b = be.AppendUint32(r.b, v) }
	u64 := func(v uint64) { r.b = be.AppendUint64(r.b, v) }
	dur := func(v time.Duration) { u64(math.Float64bits(float64(v) / 1e6)) }
	worker := func(w policy.WorkerID) {
		u32(uint32(w >> 16))
		r.b = be.AppendUint16(r.b, uint16(w))
	}
	data := func(b []byte) { r.b = append(be.AppendUint16(r.b, uint16(len(b))), b...) }
	switch a := a.(type) {
	case policy.StartAttempt:
		head(codePlace)
		u32(uint32(a.Request))
		worker(a.Worker)
		dur(a.Limit)
	case policy.CancelAttempt:
		head(codeStop)
		u32(uint32(a.Request))
		r.b = be.AppendUint16(r.b, uint16(a.Attempt))
	case policy.Reject:
		head(codeDecline)
		u32(uint32(a.Request))
		dur(a.RetryAfter)
	case policy.FailRequest:
		head(codeDrop)
		u32(uint32(a.Request))
	case policy.Load:
		head(codeMount)
		r.b = append(r.b, uint8(a.Count))
		u64(uint64(a.Function))
		worker(a.Worker)
	case policy.Unload:
		head(codeUnmount)
		worker(a.Worker)
		u64(uint64(a.Function))
	case policy.CheckHealth:
		head(codeAskLoad)
		worker(a.Worker)
	case policy.SendGossip:
		head(codeTell)
		if a.To < 0 {
			u32(allPeers)
		} else {
			u32(uint32(a.To))
		}
		data(a.Data)
	case policy.SetTimer:
		head(codeAfter)
		dur(a.After)
		u64(a.Token)
	case policy.Subscribe:
		head(codeSubscribe)
		on := uint8(0)
		if a.On {
			on = 1
		}
		r.b = append(r.b, on)
	case policy.FetchEndpoints:
		head(codeSnapshot)
	case policy.CloseIdleConnections:
		head(codeHangUp)
		worker(a.Worker)
	case policy.Log:
		head(codeWriteLog)
		data([]byte(a.Text))
	}
}

// Flush writes the reply to batch seq as one frame and empties the reply.
func (r *Reply) Flush(w io.Writer, seq uint32) error {
	frame := binary.BigEndian.AppendUint32(nil, seq)
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(r.b)))
	_, err := w.Write(append(frame, r.b...))
	r.b = r.b[:0]
	return err
}
