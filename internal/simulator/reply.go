package simulator

import (
	"encoding/binary"
	"io"
	"math"
	"time"

	"crankhold/policy"
)

// allRouters is the receiver of gossip that goes to all routers.
const allRouters = math.MaxUint32

// Reply gathers the actions that answer one batch. The zero Reply is empty and ready to use.
type Reply struct{ text []byte }

// Add appends an instance's actions.
func (r *Reply) Add(instance uint16, actions []policy.Action) {
	for _, a := range actions {
		r.add(instance, a)
	}
}

func (r *Reply) add(instance uint16, action policy.Action) {
	switch a := action.(type) {
	case policy.StartAttempt:
		r.beginRecord(codeStartAttempt, instance)
		r.request(a.Request)
		r.worker(a.Worker)
		r.duration(a.Limit)
	case policy.CancelAttempt:
		r.beginRecord(codeCancelAttempt, instance)
		r.request(a.Request)
		r.uint16(uint16(a.Attempt))
	case policy.Reject:
		r.beginRecord(codeReject, instance)
		r.request(a.Request)
		r.duration(a.RetryAfter)
	case policy.FailRequest:
		r.beginRecord(codeFailRequest, instance)
		r.request(a.Request)
	case policy.Load:
		r.beginRecord(codeLoad, instance)
		r.uint8(uint8(a.Count))
		r.uint64(uint64(a.Function))
		r.worker(a.Worker)
	case policy.Unload:
		r.beginRecord(codeUnload, instance)
		r.worker(a.Worker)
		r.uint64(uint64(a.Function))
	case policy.CheckHealth:
		r.beginRecord(codeCheckHealth, instance)
		r.worker(a.Worker)
	case policy.CloseIdleConnections:
		r.beginRecord(codeCloseIdleConnections, instance)
		r.worker(a.Worker)
	default:
		r.addOwn(instance, action)
	}
}

// addOwn appends an action that is about neither a request nor a worker.
func (r *Reply) addOwn(instance uint16, action policy.Action) {
	switch a := action.(type) {
	case policy.SendGossip:
		r.beginRecord(codeSendGossip, instance)
		r.receiver(a.To)
		r.bytes(a.Data)
	case policy.SetTimer:
		r.beginRecord(codeSetTimer, instance)
		r.duration(a.After)
		r.uint64(a.Token)
	case policy.Subscribe:
		r.beginRecord(codeSubscribe, instance)
		r.bool(a.On)
	case policy.FetchEndpoints:
		r.beginRecord(codeFetchEndpoints, instance)
	case policy.Log:
		r.beginRecord(codeLog, instance)
		r.bytes([]byte(a.Text))
	}
}

// Flush writes the reply to batch seq as one frame and empties the reply.
func (r *Reply) Flush(w io.Writer, seq uint32) error {
	frame := binary.BigEndian.AppendUint32(nil, seq)
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(r.text)))
	_, err := w.Write(append(frame, r.text...))
	r.text = r.text[:0]
	return err
}

func (r *Reply) beginRecord(code uint8, instance uint16) {
	r.uint8(code)
	r.uint16(instance)
}

func (r *Reply) uint8(v uint8)               { r.text = append(r.text, v) }
func (r *Reply) uint16(v uint16)             { r.text = binary.BigEndian.AppendUint16(r.text, v) }
func (r *Reply) uint32(v uint32)             { r.text = binary.BigEndian.AppendUint32(r.text, v) }
func (r *Reply) uint64(v uint64)             { r.text = binary.BigEndian.AppendUint64(r.text, v) }
func (r *Reply) duration(v time.Duration)    { r.uint64(math.Float64bits(float64(v) / 1e6)) }
func (r *Reply) request(id policy.RequestID) { r.uint32(uint32(id)) }

func (r *Reply) worker(id policy.WorkerID) {
	r.uint32(uint32(id >> 16))
	r.uint16(uint16(id))
}

// receiver writes the number of a router, or all of them for one below 0.
func (r *Reply) receiver(router int) {
	if router < 0 {
		r.uint32(allRouters)
	} else {
		r.uint32(uint32(router))
	}
}

func (r *Reply) bool(v bool) {
	if v {
		r.uint8(1)
	} else {
		r.uint8(0)
	}
}

func (r *Reply) bytes(b []byte) {
	r.uint16(uint16(len(b)))
	r.text = append(r.text, b...)
}
