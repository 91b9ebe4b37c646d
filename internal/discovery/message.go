package discovery

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"

	"crankhold/internal/endpoint"
)

// serviceName is the domain name whose SRV records form the endpoint list.
const serviceName = "_back._tcp.pool.lan"

// Types and the class of records: RFC 1035, section 3.2; RFC 2782 for SRV; RFC 3596, section 2.1 for AAAA.
const (
	typeA    = 1
	typeSOA  = 6
	typeTXT  = 16
	typeAAAA = 28
	typeSRV  = 33
	classIN  = 1
)

// addressSizes holds the sizes of addresses in bytes by the types of their records.
var addressSizes = map[uint16]int{
	typeA:    net.IPv4len,
	typeAAAA: net.IPv6len,
}

// The header of a message: RFC 1035, section 4.1.1.
const (
	headerSize = 12

	flagsOffset        = 2
	responseCodeOffset = 3
	questionsOffset    = 4
	answersOffset      = 6
	authorityOffset    = 8
	additionalOffset   = 10

	flagResponse         = 0x80
	flagTruncated        = 0x02
	flagRecursionDesired = 0x01
	responseCodeMask     = 0x0f
)

// The fixed parts of questions and records.
const (
	questionTrailerSize = 4  // type and class after the name of a question
	recordTrailerSize   = 10 // type, class, time to live and data length after the name of a record
	recordLengthOffset  = 8  // offset of the data length in a record's trailer
	srvFixedSize        = 6  // priority, weight and port before the target of an SRV record
	srvWeightOffset     = 2
	srvPortOffset       = 4
	soaFixedSize        = 20 // the numbers after the names of an SOA record; the first is the serial number
)

// maxRecords limits the number of records in a message.
const maxRecords = 1024

// Causes of a ParseError, in addition to responseCodeError.
var (
	errMalformed     = errors.New("malformed DNS message")
	errNotResponse   = errors.New("not a DNS response")
	errTruncated     = errors.New("response is truncated")
	errOtherQuestion = errors.New("response to another question")
	errNoSerial      = errors.New("response has no serial number")
	errTrailingData  = errors.New("response has data behind its last record")
)

// responseCodeError is a response code other than 0 (RFC 1035, section 4.1.1).
type responseCodeError uint8

func (e responseCodeError) Error() string { return fmt.Sprintf("response has code %d", uint8(e)) }

// ParseError reports why a response could not be parsed, and where.
type ParseError struct {
	Offset int // position in the message of what could not be parsed
	Err    error
}

// Error returns the text of the cause, without the offset.
func (e *ParseError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ParseError) Unwrap() error { return e.Err }

// response holds the records of a response that the client uses.
type response struct {
	serial    uint32
	services  []serviceRecord
	addresses map[endpoint.NameKey][]netip.Addr // by owner
	texts     map[endpoint.NameKey][]string     // by owner
}

// serviceRecord is the data of an SRV record.
type serviceRecord struct {
	priority uint16
	weight   uint16
	port     uint16
	target   string
}

// encodeQuery returns a query for the SRV records of a name.
func encodeQuery(id uint16, name string) []byte {
	query := binary.BigEndian.AppendUint16(nil, id)
	query = append(query, flagRecursionDesired, 0) // flags and response code
	query = append(query, 0, 1, 0, 0, 0, 0, 0, 0)  // one question
	for label := range strings.SplitSeq(strings.Trim(name, "."), ".") {
		query = append(query, byte(len(label)))
		query = append(query, label...)
	}
	query = append(query, 0) // the root label
	query = binary.BigEndian.AppendUint16(query, typeSRV)
	return binary.BigEndian.AppendUint16(query, classIN)
}
