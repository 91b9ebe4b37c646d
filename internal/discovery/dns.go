package discovery

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"strings"
)

// Record types of RFC 1035 and RFC 2782.
const (
	typeA    = 1
	typeSOA  = 6
	typeTXT  = 16
	typeAAAA = 28
	typeSRV  = 33
	classIN  = 1
)

const (
	maxRecords = 1024
	maxName    = 255
	maxJumps   = 16
)

var errFormat = errors.New("malformed DNS message")

// query returns a query for the SRV records of name.
func query(id uint16, name string) []byte {
	b := binary.BigEndian.AppendUint16(nil, id)
	b = append(b, 1, 0, 0, 1, 0, 0, 0, 0, 0, 0)
	for label := range strings.SplitSeq(strings.Trim(name, "."), ".") {
		b = append(append(b, byte(len(label))), label...)
	}
	return append(b, 0, 0, typeSRV, 0, classIN)
}

// reply is what an answer holds of use.
type reply struct {
	serial uint32
	srv    []srv
	addrs  map[string][]netip.Addr
	texts  map[string][]string
}

type srv struct {
	priority, weight, port uint16
	target                 string
}

// parse reads an answer to one of our queries and tells the query's id.
func parse(b []byte) (id uint16, r reply, err error) {
	if len(b) < 12 {
		return 0, r, errFormat
	}
	id = binary.BigEndian.Uint16(b)
	r, err = parseReply(b)
	return id, r, err
}

func parseReply(b []byte) (reply, error) {
	r := reply{addrs: map[string][]netip.Addr{}, texts: map[string][]string{}}
	if b[2]&0x80 == 0 {
		return r, errors.New("not an answer")
	}
	if b[2]&0x02 != 0 {
		return r, errors.New("answer is truncated")
	}
	if code := b[3] & 0x0f; code != 0 {
		return r, fmt.Errorf("answer has code %d", code)
	}
	at := 12
	for range binary.BigEndian.Uint16(b[4:]) {
		asked, next, err := name(b, at)
		if err != nil {
			return r, err
		}
		if at = next + 4; len(b) < at {
			return r, errFormat
		}
		if asked != serviceName || binary.BigEndian.Uint16(b[next:]) != typeSRV {
			return r, errors.New("answer to another question")
		}
	}
	records := 0
	for _, off := range []int{6, 8, 10} {
		records += int(binary.BigEndian.Uint16(b[off:]))
	}
	if records > maxRecords {
		return r, errFormat
	}
	haveSerial := false
	for range records {
		owner, next, err := name(b, at)
		if err != nil {
			return r, err
		}
		if len(b) < next+10 {
			return r, errFormat
		}
		typ, size := binary.BigEndian.Uint16(b[next:]), int(binary.BigEndian.Uint16(b[next+8:]))
		from := next + 10
		if at = from + size; len(b) < at {
			return r, errFormat
		}
		switch data := b[from:at]; {
		case typ == typeSRV && size > 6 && owner == serviceName:
			target, _, err := name(b, from+6)
			if err != nil {
				return r, err
			}
			r.srv = append(r.srv, srv{binary.BigEndian.Uint16(data), binary.BigEndian.Uint16(data[2:]),
				binary.BigEndian.Uint16(data[4:]), target})
		case typ == typeA && size == 4:
			r.addrs[owner] = append(r.addrs[owner], netip.AddrFrom4([4]byte(data)))
		case typ == typeAAAA && size == 16: // RFC 3596, section 2.2
			r.addrs[owner] = append(r.addrs[owner], netip.AddrFrom16([16]byte(data)))
		case typ == typeTXT:
			for len(data) > 0 {
				n := int(data[0])
				if len(data) < 1+n {
					return r, errFormat
				}
				r.texts[owner] = append(r.texts[owner], string(data[1:1+n]))
				data = data[1+n:]
			}
		case typ == typeSOA:
			_, p, err := name(b, from)
			if err == nil {
				_, p, err = name(b, p)
			}
			if err != nil || at < p+20 {
				return r, errFormat
			}
			r.serial, haveSerial = binary.BigEndian.Uint32(b[p:]), true
		}
	}
	if !haveSerial {
		return r, errors.New("answer has no serial")
	}
	return r, nil
}

// name reads a name, compressed or not, in lower case; next is where what follows it begins.
func name(b []byte, at int) (text string, next int, err error) {
	var out []byte
	for jumps := 0; ; {
		if at >= len(b) {
			return "", 0, errFormat
		}
		n := int(b[at])
		switch {
		case n == 0:
			if next == 0 {
				next = at + 1
			}
			return strings.ToLower(string(out)), next, nil
		case n&0xc0 == 0xc0:
			// Each jump must go back, and there are few: a loop of pointers ends here.
			if at+2 > len(b) {
				return "", 0, errFormat
			}
			to := int(binary.BigEndian.Uint16(b[at:]) & 0x3fff)
			if next == 0 {
				next = at + 2
			}
			if jumps++; to >= at || jumps > maxJumps {
				return "", 0, errFormat
			}
			at = to
		case n&0xc0 != 0 || at+1+n > len(b) || len(out)+n+1 > maxName:
			return "", 0, errFormat
		default:
			if len(out) > 0 {
				out = append(out, '.')
			}
			out = append(out, b[at+1:at+1+n]...)
			at += 1 + n
		}
	}
}
