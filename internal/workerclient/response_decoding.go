package workerclient

import (
	"bytes"
	"math"
	"strconv"

	"crankhold/policy"
)

// maxConcurrency is the largest concurrency that a response may report: no worker's queue holds so many requests.
const maxConcurrency = 1 << 20

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

// responseFields is a list of the form name=value,name=value. An empty list is "-".
type responseFields []byte

// holdsLineEnd reports whether a part of the list is a line end. Neither a name nor a value can hold one, so the length
// of the list, or of an element before it, does not fit.
func (f responseFields) holdsLineEnd() bool { return bytes.Contains(f, lineEnd) }

// The names of the fields of responses.
const (
	fieldDetail      = "detail" // how the replica came to be loaded
	fieldConcurrency = "crowd"  // requests for the function that the worker had
	fieldUse         = "use"    // the load report
	fieldCount       = "count"  // replicas that were loaded
)

// loadStatusByDetail maps the values of the field detail to load statuses.
var loadStatusByDetail = map[string]policy.LoadStatus{
	"hot":     policy.AlreadyLoaded,
	"started": policy.StartedLoad,
	"waited":  policy.WaitedForLoad,
	"broken":  policy.LoadFailed,
}

// get returns the value of a field, or nil if there is no field of that name.
func (f responseFields) get(name string) []byte {
	list := []byte(f)
	for len(list) > 0 {
		var pair []byte
		pair, list, _ = bytes.Cut(list, []byte{','})
		key, value, ok := bytes.Cut(pair, []byte{'='})
		if ok && string(key) == name {
			return value
		}
	}
	return nil
}

// loadStatus returns the value of the field detail, or the zero LoadStatus if the field is absent or unknown.
func (f responseFields) loadStatus() policy.LoadStatus {
	return loadStatusByDetail[string(f.get(fieldDetail))]
}

// replicas returns how many replicas a HOLD found or loaded, or 0 if the response does not say.
func (f responseFields) replicas() int {
	count, _ := strconv.Atoi(string(f.get(fieldCount)))
	return count
}

// concurrency returns how many requests for the function the worker had, or 0 if the response does not say. ok is false
// for a value that is not a number from 0 to maxConcurrency.
func (f responseFields) concurrency() (count int, ok bool) {
	text := f.get(fieldConcurrency)
	if len(text) == 0 {
		return 0, true
	}
	count, err := strconv.Atoi(string(text))
	if err != nil || count < 0 || count > maxConcurrency {
		return 0, false
	}
	return count, true
}

// loadReport returns the values of the field use, which has the form name:value;name:value, in the order of names. It
// returns nil for a report that lacks one of the names.
func (f responseFields) loadReport(names []string) []float64 {
	text := f.get(fieldUse)
	if len(text) == 0 {
		return nil
	}
	report := make([]float64, len(names))
	found := 0
	for len(text) > 0 {
		var pair []byte
		pair, text, _ = bytes.Cut(text, []byte{';'})
		name, value, _ := bytes.Cut(pair, []byte{':'})
		found += setReportValue(report, names, name, value)
	}
	if found < len(report) {
		return nil
	}
	return report
}

// setReportValue sets the value of a name in report and returns how many values it set.
func setReportValue(report []float64, names []string, name, value []byte) (set int) {
	for i := range names {
		if string(name) != names[i] {
			continue
		}
		number, err := strconv.ParseFloat(string(value), 64)
		if err == nil {
			report[i] = number
			set++
		}
	}
	return set
}
