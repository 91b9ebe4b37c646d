package simulator

import (
	"encoding/binary"
	"io"

	"crankhold/policy"
)

// Reply collects the actions that respond to one batch. The zero Reply is empty and ready to use.
type Reply struct{ encoder encoder }

// Add appends an instance's actions.
func (r *Reply) Add(instance uint16, actions []policy.Action) {
	for _, action := range actions {
		r.add(instance, action)
	}
}

// add appends the record of an action.
func (r *Reply) add(instance uint16, action policy.Action) {
	e := &r.encoder
	switch a := action.(type) {
	case policy.StartAttempt:
		e.beginRequestRecord(codeStartAttempt, instance, a.Request)
		e.worker(a.Worker)
		e.duration(a.Timeout)
	case policy.CancelAttempt:
		e.beginRequestRecord(codeCancelAttempt, instance, a.Request)
		e.uint16(uint16(a.Attempt))
	case policy.Reject:
		e.beginRequestRecord(codeReject, instance, a.Request)
		e.duration(a.RetryAfter)
	case policy.FailRequest:
		e.beginRequestRecord(codeFailRequest, instance, a.Request)
	default:
		r.addWorkerAction(instance, action)
	}
}

// addWorkerAction appends the record of an action that concerns no request.
func (r *Reply) addWorkerAction(instance uint16, action policy.Action) {
	e := &r.encoder
	switch a := action.(type) {
	case policy.Load:
		e.beginRecord(codeLoad, instance)
		e.uint8(uint8(a.Count))
		e.function(a.Function)
		e.worker(a.Worker)
	case policy.Unload:
		e.beginWorkerRecord(codeUnload, instance, a.Worker)
		e.function(a.Function)
	case policy.CheckHealth:
		e.beginWorkerRecord(codeCheckHealth, instance, a.Worker)
	case policy.CloseIdleConnections:
		e.beginWorkerRecord(codeCloseIdleConnections, instance, a.Worker)
	default:
		r.addRouterAction(instance, action)
	}
}

// addRouterAction appends the record of an action that concerns neither a request nor a worker.
func (r *Reply) addRouterAction(instance uint16, action policy.Action) {
	e := &r.encoder
	switch a := action.(type) {
	case policy.SendGossip:
		e.beginRecord(codeSendGossip, instance)
		e.receiver(a.To)
		e.bytes(a.Data)
	case policy.SetTimer:
		e.beginRecord(codeSetTimer, instance)
		e.duration(a.After)
		e.uint64(a.Token)
	case policy.Subscribe:
		e.beginRecord(codeSubscribe, instance)
		e.bool(a.On)
	case policy.FetchEndpoints:
		e.beginRecord(codeFetchEndpoints, instance)
	case policy.Log:
		e.beginRecord(codeLog, instance)
		e.bytes([]byte(a.Text))
	}
}

// Flush writes the reply to the batch with the given sequence number as one frame, and then empties the reply.
func (r *Reply) Flush(w io.Writer, sequence uint32) error {
	records := r.encoder.records
	frame := binary.BigEndian.AppendUint32(nil, sequence)
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(records)))
	_, err := w.Write(append(frame, records...))
	r.encoder.records = records[:0]
	return err
}
