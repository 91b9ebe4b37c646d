package discovery

import (
	"encoding/binary"
	"net/netip"

	"crankhold/internal/endpoint"
)

// parseResponse parses a response to one of the client's queries and returns the id of the query. Its error is a
// ParseError.
func parseResponse(message []byte) (id uint16, r response, err error) {
	if len(message) < headerSize {
		return 0, r, &ParseError{Offset: len(message), Err: errMalformed}
	}
	p := newParser(message)
	err = p.parse()
	return binary.BigEndian.Uint16(message), p.response, err
}

// parser parses one response from start to end.
type parser struct {
	message   []byte
	offset    int // of the next question or record
	response  response
	hasSerial bool
}

// newParser returns a parser of a message, which must have a complete header.
func newParser(message []byte) *parser {
	return &parser{
		message: message,
		offset:  headerSize,
		response: response{
			addresses: map[endpoint.NameKey][]netip.Addr{},
			texts:     map[endpoint.NameKey][]string{},
		},
	}
}

// uint16At returns the 16-bit number at an offset. The caller must check that the message is long enough.
func (p *parser) uint16At(offset int) uint16 { return binary.BigEndian.Uint16(p.message[offset:]) }

// parse parses the whole message: the header, the questions, and the records. It does not distinguish the sections of
// records. Bytes behind the last record are an error: a count of records is too small, and the list would lack some.
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
	if p.offset < len(p.message) {
		return &ParseError{Offset: p.offset, Err: errTrailingData}
	}
	if !p.hasSerial {
		return &ParseError{Offset: p.offset, Err: errNoSerial}
	}
	return nil
}

// checkHeader checks that the message is a response, is not truncated and reports no error.
func (p *parser) checkHeader() error {
	flags := p.message[flagsOffset]
	if flags&flagResponse == 0 {
		return &ParseError{Offset: flagsOffset, Err: errNotResponse}
	}
	if flags&flagTruncated != 0 {
		return &ParseError{Offset: flagsOffset, Err: errTruncated}
	}
	if code := p.message[responseCodeOffset] & responseCodeMask; code != 0 {
		return &ParseError{Offset: responseCodeOffset, Err: responseCodeError(code)}
	}
	return nil
}

// parseQuestion checks that the next question is the one that the client sends.
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
	if endpoint.KeyOf(name) != serviceName || p.uint16At(next) != typeSRV {
		return &ParseError{Offset: start, Err: errOtherQuestion}
	}
	return nil
}

// record is the fixed part of a record and the position of its data.
type record struct {
	owner      endpoint.NameKey
	recordType uint16
	start      int // offset of the data
	end        int
}

// size returns the length of the record's data in bytes.
func (r record) size() int { return r.end - r.start }

// parseRecord parses the next record. It ignores records whose type, owner or size is not one of the protocol's.
func (p *parser) parseRecord() error {
	rec, err := p.nextRecord()
	if err != nil {
		return err
	}
	switch rec.recordType {
	case typeSRV:
		return p.parseSRV(rec)
	case typeA, typeAAAA:
		p.parseAddress(rec)
	case typeTXT:
		return p.parseTXT(rec)
	case typeSOA:
		return p.parseSOA(rec)
	}
	return nil
}

// nextRecord reads the fixed part of the next record and advances the offset to the record after it.
func (p *parser) nextRecord() (record, error) {
	owner, next, err := readName(p.message, p.offset)
	if err != nil {
		return record{}, err
	}
	if len(p.message) < next+recordTrailerSize {
		return record{}, &ParseError{Offset: next, Err: errMalformed}
	}
	rec := record{owner: endpoint.KeyOf(owner), recordType: p.uint16At(next), start: next + recordTrailerSize}
	rec.end = rec.start + int(p.uint16At(next+recordLengthOffset))
	if len(p.message) < rec.end {
		return record{}, &ParseError{Offset: rec.start, Err: errMalformed}
	}
	p.offset = rec.end
	return rec, nil
}

// parseAddress parses an A or an AAAA record. A record whose data does not have the size of an address is ignored.
func (p *parser) parseAddress(rec record) {
	if rec.size() != addressSizes[rec.recordType] {
		return
	}
	addr, ok := netip.AddrFromSlice(p.message[rec.start:rec.end])
	if ok {
		p.response.addresses[rec.owner] = append(p.response.addresses[rec.owner], addr)
	}
}

// parseSRV parses an SRV record (RFC 2782). Records of other services and records without a target are ignored.
func (p *parser) parseSRV(rec record) error {
	if rec.owner != serviceName || rec.size() <= srvFixedSize {
		return nil
	}
	target, _, err := readName(p.message, rec.start+srvFixedSize)
	if err != nil {
		return err
	}
	p.response.services = append(p.response.services, serviceRecord{
		priority: p.uint16At(rec.start),
		weight:   p.uint16At(rec.start + srvWeightOffset),
		port:     p.uint16At(rec.start + srvPortOffset),
		target:   target,
	})
	return nil
}

// parseTXT parses a TXT record: texts of at most 255 bytes, each preceded by its length (RFC 1035, section 3.3.14).
func (p *parser) parseTXT(rec record) error {
	for offset := rec.start; offset < rec.end; {
		end := offset + 1 + int(p.message[offset])
		if rec.end < end {
			return &ParseError{Offset: offset, Err: errMalformed}
		}
		p.response.texts[rec.owner] = append(p.response.texts[rec.owner], string(p.message[offset+1:end]))
		offset = end
	}
	return nil
}

// parseSOA parses the serial number of an SOA record, which follows two names (RFC 1035, section 3.3.13).
func (p *parser) parseSOA(rec record) error {
	offset := rec.start
	for range 2 {
		_, next, err := readName(p.message, offset)
		if err != nil {
			return &ParseError{Offset: offset, Err: errMalformed}
		}
		offset = next
	}
	if rec.end < offset+soaFixedSize {
		return &ParseError{Offset: offset, Err: errMalformed}
	}
	p.response.serial = binary.BigEndian.Uint32(p.message[offset:])
	p.hasSerial = true
	return nil
}
