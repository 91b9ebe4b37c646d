package ipfix

import (
	"encoding/binary"
	"net/netip"
	"time"
)

const (
	protocolTCP       = 6 // value of protocolIdentifier
	endOfFlowDetected = 3 // value of flowEndReason: end of flow detected (RFC 5102, section 5.11.3)

	// maxClassBytes limits the name of a class. The length of a name below 255 bytes is encoded in one byte (RFC 7011,
	// section 7).
	maxClassBytes = 64
)

// Flow describes one request from a client to the router.
type Flow struct {
	Client netip.AddrPort
	Server netip.AddrPort // the router's own address
	Start  time.Time
	End    time.Time
	Octets uint64 // size of the request's body in bytes
	Class  string // truncated to maxClassBytes
}

// record is an encoded flow.
type record struct {
	template uint16 // id of the template
	data     []byte
}

// encodeRecord encodes a flow in the order of its template's fields. It reports false if the addresses are unknown or
// of different families, because no template has an address of each family.
func encodeRecord(f Flow) (encoded record, ok bool) {
	client := f.Client.Addr().Unmap()
	server := f.Server.Addr().Unmap()
	if !client.IsValid() || client.Is4() != server.Is4() {
		return record{}, false
	}
	class := f.Class[:min(len(f.Class), maxClassBytes)]
	var data []byte
	data = append(data, client.AsSlice()...)
	data = append(data, server.AsSlice()...)
	data = binary.BigEndian.AppendUint64(data, uint64(f.Start.UnixMilli()))
	data = binary.BigEndian.AppendUint64(data, uint64(f.End.UnixMilli()))
	data = binary.BigEndian.AppendUint16(data, f.Client.Port())
	data = binary.BigEndian.AppendUint16(data, f.Server.Port())
	data = append(data, protocolTCP)
	data = binary.BigEndian.AppendUint64(data, f.Octets)
	data = append(data, endOfFlowDetected)
	data = append(data, byte(len(class)))
	data = append(data, class...)
	if client.Is4() {
		return record{template: templateIPv4ID, data: data}, true
	}
	return record{template: templateIPv6ID, data: data}, true
}
