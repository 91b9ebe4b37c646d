package workerclient

// Violation is a way in which a response violates the protocol. Each is an ErrMalformedResponse.
type Violation uint8

// The violations.
const (
	UnexpectedType        Violation = iota // a value is of another RESP type than the protocol has there
	InvalidLength                          // a length is not a number, or over its limit
	MissingLineEnd                         // an element does not end where its length says
	UnexpectedArrayLength                  // the array has another number of elements than a response
	InvalidFields                          // the fields hold a line end
	UnknownStatus                          // the status is none of the protocol's
	MismatchedStatus                       // the status does not belong to the response to such a command
	UnsolicitedResponse                    // the command was not written yet
	TrailingData                           // what arrived with the response, behind it, is no response
	violationCount
)

// violationNames are the names of the violations in logs and counters.
var violationNames = [violationCount]string{
	UnexpectedType:        "unexpected type",
	InvalidLength:         "invalid length",
	MissingLineEnd:        "missing line end",
	UnexpectedArrayLength: "unexpected array length",
	InvalidFields:         "invalid fields",
	UnknownStatus:         "unknown status",
	MismatchedStatus:      "mismatched status",
	UnsolicitedResponse:   "unsolicited response",
	TrailingData:          "trailing data",
}

// String returns the name of the violation.
func (v Violation) String() string { return violationNames[v] }

// Error returns the name of the violation.
func (v Violation) Error() string { return v.String() }

// Is reports whether target is ErrMalformedResponse.
func (v Violation) Is(target error) bool { return target == ErrMalformedResponse }
