package workerclient

import (
	"math"

	"crankhold/policy"
)

// responseStatus is the second element of a response.
type responseStatus uint8

const (
	statusUnknown responseStatus = iota
	statusHit                    // ran, or loaded
	statusNone                   // not loaded; nothing ran
	statusShed                   // overloaded; nothing ran
	statusFault                  // failed, and may have run
	statusLate                   // its budget was used up before it started; nothing ran
	statusPong                   // healthy
	statusSick                   // responds, but is not healthy
)

// statusByName maps the names on the wire to statuses. They are matched exactly, in upper case, because NONE, SHED and
// LATE prove that a request never ran.
var statusByName = map[string]responseStatus{
	"HIT":   statusHit,
	"NONE":  statusNone,
	"SHED":  statusShed,
	"FAULT": statusFault,
	"LATE":  statusLate,
	"PONG":  statusPong,
	"SICK":  statusSick,
}

// outcomeByStatus maps the statuses, except for the unknown one, to the outcomes of the decision module.
var outcomeByStatus = [...]policy.Outcome{
	statusHit:   policy.Served,
	statusNone:  policy.NotLoaded,
	statusShed:  policy.Overloaded,
	statusFault: policy.Failed,
	statusLate:  policy.NotSent,
	statusPong:  policy.Served,
	statusSick:  policy.Failed,
}

// String returns the name of the status on the wire.
func (s responseStatus) String() string {
	for name, status := range statusByName {
		if status == s {
			return name
		}
	}
	return "unknown"
}

// respondsToHealthQuery reports whether only responses to INFO and NOOP have the status.
func (s responseStatus) respondsToHealthQuery() bool { return s == statusPong || s == statusSick }

// response is a worker's response to a command. Its slices point into the bytes that it was decoded from.
type response struct {
	id     []byte
	status responseStatus
	fields responseFields
	body   []byte
}

// The positions of the elements of a response. Every response has all of them; one without fields has "-", and one
// without a body an empty element.
const (
	idElement = iota
	statusElement
	fieldsElement
	bodyElement
	responseElements // their number
)

// decodeResponse decodes the response at the start of data. It returns the size of the response in bytes, or 0 while
// the response is incomplete. The error is a Violation, and is returned as soon as the element that has it is complete.
func decodeResponse(data []byte) (r response, size int, err error) {
	count, offset, err := decodeLength(data, 0, arrayType, math.MaxInt32)
	if err != nil || offset == 0 {
		return response{}, 0, err
	}
	if count != responseElements {
		return response{}, 0, UnexpectedArrayLength
	}
	var storage [responseElements][]byte
	elements, size, err := decodeBulkStrings(data, offset, responseElements, storage[:0])
	if err != nil {
		return response{}, 0, err
	}
	r, err = newResponse(elements)
	if err != nil || size == 0 {
		return response{}, 0, err
	}
	return r, size, nil
}

// newResponse returns a response with the elements that have arrived. It checks the status and the fields.
func newResponse(elements [][]byte) (r response, err error) {
	for position, element := range elements {
		switch position {
		case idElement:
			r.id = element
		case statusElement:
			r.status = statusByName[string(element)]
			if r.status == statusUnknown {
				return response{}, UnknownStatus
			}
		case fieldsElement:
			r.fields = element
			if r.fields.holdsLineEnd() {
				return response{}, InvalidFields
			}
		case bodyElement:
			r.body = element
		}
	}
	return r, nil
}

// decodeResponseID decodes the id of the response at the start of data. The rest of the response may be malformed or
// incomplete. It returns nil if there is no id.
func decodeResponseID(data []byte) []byte {
	_, offset, err := decodeLength(data, 0, arrayType, math.MaxInt32)
	if err != nil || offset == 0 {
		return nil
	}
	var storage [1][]byte
	elements, _, _ := decodeBulkStrings(data, offset, len(storage), storage[:0])
	if len(elements) == 0 {
		return nil
	}
	return elements[idElement]
}
