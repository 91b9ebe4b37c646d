package fake

import (
	"bytes"
	"encoding/binary"
	"strings"
)

// Record types (RFC 1035, section 3.2.2; RFC 2782; RFC 3596).
const (
	recordA    = 1
	recordSOA  = 6
	recordTXT  = 16
	recordAAAA = 28
	recordSRV  = 33
)

// dnsHeaderSize is the size of a message's header (RFC 1035, section 4.1.1).
const dnsHeaderSize = 12

// dnsSection identifies a section by the offset of its record count in the header.
type dnsSection int

// Sections of a response.
const (
	sectionAnswer     dnsSection = 6
	sectionAuthority  dnsSection = 8
	sectionAdditional dnsSection = 10
)

const (
	classInternet = 1
	recordTTL     = 1 // seconds
)

// responseFlag is set in the third byte of a response's header.
const responseFlag = 0x80

// dnsResponse is a response under construction.
type dnsResponse struct {
	message []byte
}

// newDNSResponse returns a response without records, which starts with a copy of the query.
func newDNSResponse(query []byte) *dnsResponse {
	message := bytes.Clone(query)
	message[2] |= responseFlag
	return &dnsResponse{message: message}
}

// add appends a record to a section. Records must be added in the order of the sections in the message.
func (r *dnsResponse) add(section dnsSection, name string, recordType uint16, data []byte) {
	count := r.message[section : section+2]
	binary.BigEndian.PutUint16(count, binary.BigEndian.Uint16(count)+1)
	b := append(r.message, domainName(name)...)
	b = binary.BigEndian.AppendUint16(b, recordType)
	b = binary.BigEndian.AppendUint16(b, classInternet)
	b = binary.BigEndian.AppendUint32(b, recordTTL)
	b = binary.BigEndian.AppendUint16(b, uint16(len(data)))
	r.message = append(b, data...)
}

// srvData encodes the data of an SRV record.
func srvData(priority, weight, port uint16, target string) []byte {
	b := binary.BigEndian.AppendUint16(nil, priority)
	b = binary.BigEndian.AppendUint16(b, weight)
	b = binary.BigEndian.AppendUint16(b, port)
	return append(b, domainName(target)...)
}

// soaData encodes the data of an SOA record. Its intervals are all zero.
func soaData(name string, serial uint32) []byte {
	b := append(domainName(name), domainName(name)...)
	b = binary.BigEndian.AppendUint32(b, serial)
	return append(b, make([]byte, 16)...)
}

// txtData encodes the data of a TXT record.
func txtData(texts []string) (b []byte) {
	for _, text := range texts {
		b = append(b, byte(len(text)))
		b = append(b, text...)
	}
	return b
}

// domainName encodes a domain name as labels, without compression.
func domainName(name string) (b []byte) {
	for label := range strings.SplitSeq(name, ".") {
		b = append(b, byte(len(label)))
		b = append(b, label...)
	}
	return append(b, 0)
}
