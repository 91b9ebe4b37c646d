package thrift

import "errors"

// Types of fields, elements, keys and values in the binary protocol.
const (
	wireStop   = 0
	wireBool   = 2
	wireByte   = 3
	wireDouble = 4
	wireI16    = 6
	wireI32    = 8
	wireI64    = 10
	wireString = 11
	wireStruct = 12
	wireMap    = 13
	wireSet    = 14
	wireList   = 15
)

// messageKind is the type of a message in the binary protocol.
type messageKind byte

const (
	messageCall      messageKind = 1
	messageReply     messageKind = 2
	messageException messageKind = 3
	messageOneway    messageKind = 4
)

// The first four bytes of a message are the version and, in the last byte, its kind.
const (
	strictVersion = 0x80010000
	versionMask   = 0xffffff00
)

// The methods of the platform's service.
const (
	methodExecute   = "execute"
	methodInterrupt = "interrupt"
	methodCheck     = "check"
)

// Ids of the methods' arguments.
const (
	executeFields     = 1 // map<string, string>
	executeBody       = 2 // binary
	interruptSequence = 1 // i32
)

// Ids of the fields of a method's result: the value, or one of the exceptions that the method declares.
const (
	resultSuccess = 0
	resultBackoff = 1
	resultLost    = 2
)

// Ids of the fields of the struct Answer, the value that execute and check return.
const (
	answerBody  = 1 // binary
	answerNotes = 2 // map<string, string>; always empty
	answerOK    = 3 // bool
)

// exceptionDetails is the id of the only field of Backoff and Lost, a map<string, string>.
const exceptionDetails = 1

// Keys of the details of exceptions.
const (
	detailRetryAfter = "after"  // of Backoff: in milliseconds
	detailReason     = "reason" // of Lost: the name of the request's invalid field
)

// Ids of the fields of an application exception, and its type for an unknown method.
const (
	applicationExceptionMessage = 1 // string
	applicationExceptionType    = 2 // i32
	unknownMethodType           = 1
)

const (
	frameLengthBytes   = 4
	maxBodyBytes       = 16 << 10
	maxFrameBytes      = maxBodyBytes + 4<<10 // of the body and the other fields
	maxMethodNameBytes = 64
	maxMapEntries      = 64   // of the map of fields
	maxNesting         = 8    // of values that are skipped
	maxSkippedElements = 1024 // of a container that is skipped
)

// errMalformedMessage reports a message that violates the protocol. Its connection is closed.
var errMalformedMessage = errors.New("malformed message")
