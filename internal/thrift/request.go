package thrift

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"crankhold/internal/router"
	"crankhold/policy"
)

// Keys of the map of fields of an execute. Unknown keys are ignored.
const (
	fieldClass          = "class"
	fieldID             = "id"
	fieldFunction       = "key"
	fieldIdempotencyKey = "once"
	fieldTenant         = "tenant"
	fieldWait           = "wait"  // how many milliseconds the client waits for the reply
	fieldProperties     = "props" // name:value pairs, separated by semicolons
)

// Names of properties. A property with another name is ignored if its value is a number, and invalid if it is not.
const (
	propertyMemory   = "memory_mb"
	propertyLanes    = "lanes"
	propertyLoadTime = "load_ms"
)

// maxLoggedValueBytes limits the part of a field's value that is logged.
const maxLoggedValueBytes = 64

// FieldError reports an invalid field of a request.
type FieldError struct {
	Field string
	Value string // at most maxLoggedValueBytes of the value; "" if the field is empty or missing
}

// Error names the field and its value.
func (e *FieldError) Error() string {
	return fmt.Sprintf("field %s is invalid: %q", e.Field, e.Value)
}

// executeArguments decodes the arguments of execute.
func (d *decoder) executeArguments() (fields executeFieldMap, body []byte, err error) {
	err = d.arguments(func(wireType byte, id uint16) bool {
		switch {
		case id == executeFields && wireType == wireMap:
			fields = d.stringMap()
		case id == executeBody && wireType == wireString:
			body = d.bytes()
		default:
			return false
		}
		return true
	})
	return fields, body, err
}

// executeFieldMap holds the fields of an execute by their keys.
type executeFieldMap map[string][]byte

// text returns the value of a field, or "" if the field is missing.
func (m executeFieldMap) text(field string) string { return string(m[field]) }

// fieldError returns the error for an invalid field.
func (m executeFieldMap) fieldError(field string) *FieldError {
	value := m[field]
	return &FieldError{Field: field, Value: string(value[:min(len(value), maxLoggedValueBytes)])}
}

// decodeRequest decodes the fields of an execute into a request. The caller sets the request's client, body and
// responder. A request with an invalid field is rejected, because the field could not be forwarded unchanged.
func (f *Front) decodeRequest(fields executeFieldMap) (request router.Request, rejected *FieldError) {
	class, known := f.classIndex[fields.text(fieldClass)]
	if !known {
		return request, fields.fieldError(fieldClass)
	}
	request = router.Request{
		Front:          router.Thrift,
		Class:          class,
		ID:             fields.text(fieldID),
		Function:       router.Function{Key: fields.text(fieldFunction)},
		IdempotencyKey: fields.text(fieldIdempotencyKey),
	}
	if _, ok := router.ParseFunctionKey(request.ID); !ok {
		return request, fields.fieldError(fieldID)
	}
	function, ok := router.ParseFunctionKey(request.Function.Key)
	if !ok {
		return request, fields.fieldError(fieldFunction)
	}
	request.Function.ID = policy.FunctionID(function)
	if !f.classes[class].allowsIdempotencyKey(request.IdempotencyKey) {
		return request, fields.fieldError(fieldIdempotencyKey)
	}
	request.Tenant, ok = f.decodeTenant(fields)
	if !ok {
		return request, fields.fieldError(fieldTenant)
	}
	wait, ok := parseNumber(fields.text(fieldWait), router.MaxWaitMs)
	if !ok {
		return request, fields.fieldError(fieldWait)
	}
	request.Deadline = f.clock.ArrivedAt() + milliseconds(wait) - router.ResponseMargin
	if !decodeProperties(fields.text(fieldProperties), &request.Function) {
		return request, fields.fieldError(fieldProperties)
	}
	return request, nil
}

// allowsIdempotencyKey reports whether a request of the class may have the given idempotency key, "" for none. If the
// class requires a key, workers could not drop duplicates without it.
func (c Class) allowsIdempotencyKey(key string) bool {
	if key == "" {
		return !c.RequiresIdempotencyKey
	}
	return router.ValidIdempotencyKey(key)
}

// decodeTenant returns the tenant of a request, or "" if it has none. It reports false for a tenant that is not
// configured. If no tenants are configured, the field is ignored.
func (f *Front) decodeTenant(fields executeFieldMap) (tenant string, ok bool) {
	name, named := fields[fieldTenant]
	if !named || len(f.tenants) == 0 {
		return "", true
	}
	tenant = string(name)
	return tenant, slices.Contains(f.tenants, tenant)
}

// decodeProperties decodes the properties of a request and sets them in its function. It reports false if a value is
// not a number in the range of its property.
func decodeProperties(text string, function *router.Function) bool {
	for text != "" {
		var property string
		property, text, _ = strings.Cut(text, ";")
		name, value, _ := strings.Cut(property, ":")
		number, ok := parseNumber(value, maxPropertyValue(name))
		if !ok {
			return false
		}
		switch name {
		case propertyMemory:
			function.MemoryMB = number
		case propertyLanes:
			function.Lanes = number
		case propertyLoadTime:
			function.LoadTime = milliseconds(number)
		}
	}
	return true
}

// maxPropertyValue returns the largest value that a property may have.
func maxPropertyValue(name string) float64 {
	switch name {
	case propertyMemory:
		return router.MaxMemoryMB
	case propertyLanes:
		return router.MaxLanes
	case propertyLoadTime:
		return router.MaxLoadMs
	}
	return math.MaxFloat64
}

// parseNumber parses a number in the range from 0 to max.
func parseNumber(text string, max float64) (number float64, ok bool) {
	number, err := strconv.ParseFloat(text, 64)
	return number, err == nil && router.InRange(number, max)
}

// milliseconds returns n milliseconds as a duration, truncated to whole nanoseconds.
func milliseconds(n float64) time.Duration { return time.Duration(n * 1e6) }
