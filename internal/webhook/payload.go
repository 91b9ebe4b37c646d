package webhook

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"crankhold/internal/router"
	"crankhold/policy"
)

// requestEventType is the type of an event that contains a request.
const requestEventType = "call.requested"

// outsideRetention is the error text for an order that may already have been removed from the ledger.
const outsideRetention = "the order's timestamp is outside the ledger's retention"

// maxTenantLength is the maximum length of a tenant's name, in bytes.
const maxTenantLength = 128

// payload is the JSON of a delivery. It contains the whole request, since the signature covers no other data than the
// id, the timestamp and this body.
type payload struct {
	Type      string    `json:"type"`
	Timestamp time.Time `json:"timestamp"` // of the event; the same in each redelivery

	// Data is the request. Its type is anonymous, because encoding/json would print a type name in the errors that are
	// logged.
	Data struct {
		Class    string  `json:"class"`
		Key      string  `json:"key"` // of the function, in 16 hex digits
		Tenant   string  `json:"tenant"`
		WaitMs   float64 `json:"wait_ms"` // how long it may wait for its response; 0 for the maximum of its class
		MemoryMB float64 `json:"memory_mb"`
		Lanes    float64 `json:"lanes"`
		LoadMs   float64 `json:"load_ms"` // how long a worker takes to load the function
		Body     []byte  `json:"body"`    // in base64
	} `json:"data"`
}

// parsePayload decodes the payload and checks its type. Its errors are of type *MalformedDeliveryError.
func parsePayload(body []byte) (*payload, error) {
	var p payload
	if err := json.Unmarshal(body, &p); err != nil {
		malformed := &MalformedDeliveryError{Err: err}
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) {
			malformed.Field = wrongType.Field
		}
		return nil, malformed
	}
	if p.Type != requestEventType {
		return nil, malformedField("type", "type is not "+requestEventType)
	}
	return &p, nil
}

// checkSizes checks the fields whose length is limited.
func (p *payload) checkSizes() error {
	switch {
	case len(p.Data.Tenant) > maxTenantLength:
		return malformedField("data.tenant", "tenant is too long")
	case len(p.Data.Body) > maxRequestBody:
		return malformedField("data.body", "body is too long")
	}
	return nil
}

// checkNumbers checks the numeric fields against the router's limits.
func (p *payload) checkNumbers() error {
	for _, number := range []struct {
		field string
		value float64
		max   float64
	}{
		{"data.wait_ms", p.Data.WaitMs, router.MaxWaitMs},
		{"data.memory_mb", p.Data.MemoryMB, router.MaxMemoryMB},
		{"data.lanes", p.Data.Lanes, router.MaxLanes},
		{"data.load_ms", p.Data.LoadMs, router.MaxLoadMs},
	} {
		if !router.InRange(number.value, number.max) {
			return malformedField(number.field, "the number is out of range")
		}
	}
	return nil
}

// wait returns how long the request may wait for its response: the class's maximum, unless the payload sets a shorter
// time.
func (p *payload) wait(class Class) time.Duration {
	wait := milliseconds(p.Data.WaitMs)
	if wait == 0 || wait > class.MaxWait {
		return class.MaxWait
	}
	return wait
}

// decodeRequest reads and checks the payload of an authenticated delivery. It returns the request and the time of the
// event. The caller sets the request's client, idempotency key and responder. Its errors are of type
// *MalformedDeliveryError.
func (r *Receiver) decodeRequest(body []byte) (request router.Request, eventTime time.Time, err error) {
	p, err := parsePayload(body)
	if err != nil {
		return request, eventTime, err
	}
	class, classIndex, known := r.classes.find(p.Data.Class)
	if !known {
		return request, eventTime, malformedField("data.class", "unknown class")
	}
	if err := p.checkSizes(); err != nil {
		return request, eventTime, err
	}
	function, ok := router.ParseFunctionKey(p.Data.Key)
	if !ok {
		return request, eventTime, malformedField("data.key", "key is not 16 lowercase hex digits")
	}
	if err := p.checkNumbers(); err != nil {
		return request, eventTime, err
	}
	if class.NotIdempotent && !r.retention.contains(p.Timestamp) {
		return request, eventTime, malformedField("timestamp", outsideRetention)
	}
	request = router.Request{
		Front: router.Webhook,
		Class: classIndex,
		ID:    newRequestID(),
		Function: router.Function{
			Key:      p.Data.Key,
			ID:       policy.FunctionID(function),
			MemoryMB: p.Data.MemoryMB,
			Lanes:    p.Data.Lanes,
			LoadTime: milliseconds(p.Data.LoadMs),
		},
		Tenant:   p.Data.Tenant,
		Body:     p.Data.Body,
		Deadline: r.clock.ArrivedAt() + p.wait(class) - router.ResponseMargin,
	}
	return request, p.Timestamp, nil
}

// milliseconds converts a JSON number of milliseconds to a duration, truncated to whole nanoseconds.
func milliseconds(n float64) time.Duration { return time.Duration(n * 1e6) }

// newRequestID returns a random request id. Workers are sent this id and not the webhook-id.
func newRequestID() string {
	var b [8]byte
	rand.Read(b[:]) // never fails
	return fmt.Sprintf("%016x", binary.BigEndian.Uint64(b[:]))
}
