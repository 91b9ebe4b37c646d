package ipfix

import "encoding/binary"

// Ids of sets and templates (RFC 7011, sections 3.3.2 and 3.4.1). The id of a set of templates is reserved; the id of a
// set of records is the id of the records' template.
const (
	templateSetID  = 2
	templateIPv4ID = 256 // the first id that a template may have
	templateIPv6ID = 257
)

// Ids of information elements in IANA's registry.
const (
	octetDeltaCount          = 1
	protocolIdentifier       = 4
	sourceTransportPort      = 7
	sourceIPv4Address        = 8
	destinationTransportPort = 11
	destinationIPv4Address   = 12
	sourceIPv6Address        = 27
	destinationIPv6Address   = 28
	applicationName          = 96
	flowEndReason            = 136
	flowStartMilliseconds    = 152
	flowEndMilliseconds      = 153
)

// variableLength is the length of a field whose values contain their own length (section 7).
const variableLength = 65535

// fieldSpecifier consists of the information element and the length of a field (section 3.2).
type fieldSpecifier struct {
	element uint16
	length  uint16 // in bytes, or variableLength
}

// template describes the fields of records (section 3.4.1).
type template struct {
	id     uint16
	fields []fieldSpecifier
}

// commonFields holds the fields that follow the addresses in both templates.
var commonFields = []fieldSpecifier{
	{flowStartMilliseconds, 8},
	{flowEndMilliseconds, 8},
	{sourceTransportPort, 2},
	{destinationTransportPort, 2},
	{protocolIdentifier, 1},
	{octetDeltaCount, 8},
	{flowEndReason, 1},
	{applicationName, variableLength},
}

// templates holds the exporter's templates in the order in which they are sent.
var templates = []template{
	{templateIPv4ID, append([]fieldSpecifier{{sourceIPv4Address, 4}, {destinationIPv4Address, 4}}, commonFields...)},
	{templateIPv6ID, append([]fieldSpecifier{{sourceIPv6Address, 16}, {destinationIPv6Address, 16}}, commonFields...)},
}

// appendTemplateSet appends a set that contains all templates (section 3.4.1).
func appendTemplateSet(b []byte) []byte {
	start := len(b)
	b = appendSetHeader(b, templateSetID)
	for _, t := range templates {
		b = binary.BigEndian.AppendUint16(b, t.id)
		b = binary.BigEndian.AppendUint16(b, uint16(len(t.fields)))
		for _, field := range t.fields {
			b = binary.BigEndian.AppendUint16(b, field.element)
			b = binary.BigEndian.AppendUint16(b, field.length)
		}
	}
	writeSetLength(b, start)
	return b
}
