package discovery

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
)

// serviceName is the name whose SRV records are the endpoint list.
const serviceName = "_back._tcp.pool.lan"

// Types and classes of records: RFC 1035, section 3.2; RFC 2782 for SRV; RFC 3596, section 2.1 for AAAA.
const (
	typeA    = 1
	typeSOA  = 6
	typeTXT  = 16
	typeAAAA = 28
	typeSRV  = 33
	classIN  = 1
)

// addressSizes are the lengths of addresses in bytes by the types of their records.
var addressSizes = map[uint16]int{
	typeA:    net.IPv4len,
	typeAAAA: net.IPv6len,
}

// The header of a message: RFC 1035, section 4.1.1.
const (
	headerSize = 12

	flagsOffset      = 2
	codeOffset       = 3
	questionsOffset  = 4
	answersOffset    = 6
	authorityOffset  = 8
	additionalOffset = 10

	flagResponse         = 0x80
	flagTruncated        = 0x02
	flagRecursionDesired = 0x01
	codeMask             = 0x0f
)

const (
	questionTrailerSize = 4  // type and class behind a question's name
	recordTrailerSize   = 10 // type, class, time to live and length behind a record's name
	serviceFixedSize    = 6  // priority, weight and port before a service record's target
	authorityFixedSize  = 20 // the numbers behind the names of an SOA record, of which the first is the serial number

	maxRecords = 1024
)

// What may be wrong with a response.
var (
	errMalformed     = errors.New("malformed DNS message")
	errNotResponse   = errors.New("not an answer")
	errTruncated     = errors.New("answer is truncated")
	errOtherQuestion = errors.New("answer to another question")
	errNoSerial      = errors.New("answer has no serial")
)

// responseCodeError is a response code other than 0 (RFC 1035, section 4.1.1).
type responseCodeError uint8

func (e responseCodeError) Error() string { return fmt.Sprintf("answer has code %d", uint8(e)) }

// ParseError says why a response could not be parsed, and where.
type ParseError struct {
	Offset int // in the message, of what could not be parsed
	Err    error
}

// Error returns the reason alone.
func (e *ParseError) Error() string { return e.Err.Error() }

// Unwrap returns the reason.
func (e *ParseError) Unwrap() error { return e.Err }

// response is what a response holds of use.
type response struct {
	serial    uint32
	services  []serviceRecord
	addresses map[string][]netip.Addr // by owner
	texts     map[string][]string     // by owner
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
	b := binary.BigEndian.AppendUint16(nil, id)
	b = append(b, flagRecursionDesired, 0) // flags and code
	b = append(b, 0, 1, 0, 0, 0, 0, 0, 0)  // one question
	for label := range strings.SplitSeq(strings.Trim(name, "."), ".") {
		b = append(b, byte(len(label)))
		b = append(b, label...)
	}
	b = append(b, 0) // the root
	b = binary.BigEndian.AppendUint16(b, typeSRV)
	return binary.BigEndian.AppendUint16(b, classIN)
}

// parseResponse parses a response to one of the client's queries, and returns that query's id. Its error is a
// ParseError.
func parseResponse(message []byte) (id uint16, r response, err error) {
	if len(message) < headerSize {
		return 0, r, &ParseError{Offset: len(message), Err: errMalformed}
	}
	p := &parser{message: message, offset: headerSize}
	p.response.addresses = map[string][]netip.Addr{}
	p.response.texts = map[string][]string{}
	err = p.parse()
	return binary.BigEndian.Uint16(message), p.response, err
}

// parser parses one response from front to back.
type parser struct {
	message   []byte
	offset    int // of the next question or record
	response  response
	hasSerial bool
}

// uint16At returns the number at an offset, which the caller has checked.
func (p *parser) uint16At(offset int) uint16 { return binary.BigEndian.Uint16(p.message[offset:]) }

func (p *parser) parse() error {
	if err := p.checkHeader(); err != nil {
		return err
	}
	for range p.uint16At(questionsOffset) {
		if err := p.parseQuestion(); err != nil {
			return err
		}
	}
	records := int(p.uint16At(answersOffset)) + int(p.uint16At(authorityOffset)) + int(p.uint16At(additionalOffset))
	if records > maxRecords {
		return &ParseError{Offset: answersOffset, Err: errMalformed}
	}
	for range records {
		if err := p.parseRecord(); err != nil {
			return err
		}
	}
	if !p.hasSerial {
		return &ParseError{Offset: p.offset, Err: errNoSerial}
	}
	return nil
}

func (p *parser) checkHeader() error {
	flags := p.message[flagsOffset]
	if flags&flagResponse == 0 {
		return &ParseError{Offset: flagsOffset, Err: errNotResponse}
	}
	if flags&flagTruncated != 0 {
		return &ParseError{Offset: flagsOffset, Err: errTruncated}
	}
	if code := p.message[codeOffset] & codeMask; code != 0 {
		return &ParseError{Offset: codeOffset, Err: responseCodeError(code)}
	}
	return nil
}

// parseQuestion checks that a question is the client's own.
func (p *parser) parseQuestion() error {
	start := p.offset
	name, next, err := readName(p.message, start)
	if err != nil {
		return err
	}
	p.offset = next + questionTrailerSize
	if len(p.message) < p.offset {
		return &ParseError{Offset: next, Err: errMalformed}
	}
	if name != serviceName || p.uint16At(next) != typeSRV {
		return &ParseError{Offset: start, Err: errOtherQuestion}
	}
	return nil
}

// record is where one record's data stands.
type record struct {
	owner string
	kind  uint16
	start int // of its data
	end   int
}

// size returns the length of the record's data in bytes.
func (r record) size() int { return r.end - r.start }

// parseRecord parses the next record. Records of other types, owners and sizes than the protocol's are ignored.
func (p *parser) parseRecord() error {
	rec, err := p.nextRecord()
	if err != nil {
		return err
	}
	switch rec.kind {
	case typeSRV:
		return p.parseService(rec)
	case typeA, typeAAAA:
		p.parseAddress(rec)
	case typeTXT:
		return p.parseTexts(rec)
	case typeSOA:
		return p.parseSerial(rec)
	}
	return nil
}

// nextRecord reads the fixed part of the next record and moves on to the one after it.
func (p *parser) nextRecord() (record, error) {
	owner, next, err := readName(p.message, p.offset)
	if err != nil {
		return record{}, err
	}
	if len(p.message) < next+recordTrailerSize {
		return record{}, &ParseError{Offset: next, Err: errMalformed}
	}
	rec := record{owner: owner, kind: p.uint16At(next), start: next + recordTrailerSize}
	rec.end = rec.start + int(p.uint16At(rec.start-2)) // the length is the last two bytes of the fixed part
	if len(p.message) < rec.end {
		return record{}, &ParseError{Offset: rec.start, Err: errMalformed}
	}
	p.offset = rec.end
	return rec, nil
}

// parseAddress parses an A or an AAAA record. One whose data has another size than its type's addresses is ignored.
func (p *parser) parseAddress(rec record) {
	if rec.size() != addressSizes[rec.kind] {
		return
	}
	addr, ok := netip.AddrFromSlice(p.message[rec.start:rec.end])
	if ok {
		p.response.addresses[rec.owner] = append(p.response.addresses[rec.owner], addr)
	}
}

// parseService parses an SRV record (RFC 2782). Those of other services, and those without a target, are ignored.
func (p *parser) parseService(rec record) error {
	if rec.owner != serviceName || rec.size() <= serviceFixedSize {
		return nil
	}
	target, _, err := readName(p.message, rec.start+serviceFixedSize)
	if err != nil {
		return err
	}
	p.response.services = append(p.response.services, serviceRecord{
		priority: p.uint16At(rec.start),
		weight:   p.uint16At(rec.start + 2),
		port:     p.uint16At(rec.start + 4),
		target:   target,
	})
	return nil
}

// parseTexts parses a TXT record: texts of up to 255 bytes, each behind its length (RFC 1035, section 3.3.14).
func (p *parser) parseTexts(rec record) error {
	for at := rec.start; at < rec.end; {
		end := at + 1 + int(p.message[at])
		if rec.end < end {
			return &ParseError{Offset: at, Err: errMalformed}
		}
		p.response.texts[rec.owner] = append(p.response.texts[rec.owner], string(p.message[at+1:end]))
		at = end
	}
	return nil
}

// parseSerial parses the serial number of an SOA record, which stands behind two names (RFC 1035, section 3.3.13).
func (p *parser) parseSerial(rec record) error {
	at := rec.start
	for range 2 {
		_, next, err := readName(p.message, at)
		if err != nil {
			return &ParseError{Offset: at, Err: errMalformed}
		}
		at = next
	}
	if rec.end < at+authorityFixedSize {
		return &ParseError{Offset: at, Err: errMalformed}
	}
	p.response.serial = binary.BigEndian.Uint32(p.message[at:])
	p.hasSerial = true
	return nil
}
