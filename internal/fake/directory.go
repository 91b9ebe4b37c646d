package fake

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Entry is a worker as the directory lists it.
type Entry struct {
	Name, Addr, Kind, Zone string
	More                   []string // further addresses, as network:address
	Cell                   int
	Draining               bool
	Started                int64 // Unix milliseconds, or 0
}

// Directory is a stand-in directory: it answers queries by DNS over UDP.
type Directory struct {
	pc     net.PacketConn
	mu     sync.Mutex
	serial uint32
	list   []Entry
	told   map[uint32]time.Time // when an answer first held an event
}

// NewDirectory starts a directory with a list as its first event.
func NewDirectory(addr string, list []Entry) (*Directory, error) {
	pc, err := net.ListenPacket("udp", addr)
	if err != nil {
		return nil, err
	}
	d := &Directory{pc: pc, serial: 1, list: list, told: map[uint32]time.Time{}}
	go func() {
		for b := make([]byte, 512); ; {
			n, from, err := pc.ReadFrom(b)
			if err != nil {
				return
			}
			if n > 12 {
				pc.WriteTo(d.answer(b[:n]), from)
			}
		}
	}()
	return d, nil
}

// Addr is where it listens.
func (d *Directory) Addr() string { return d.pc.LocalAddr().String() }

// Set puts another list in place, as the next event, and returns its number.
func (d *Directory) Set(list []Entry) uint32 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.serial++
	d.list = list
	return d.serial
}

// Told is when an answer first held an event or one behind it; zero before.
func (d *Directory) Told(serial uint32) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.told[serial]
}

// Close ends it.
func (d *Directory) Close() { d.pc.Close() }

// answer adds the list to a query (RFC 1035, section 4.1; RFC 2782).
func (d *Directory) answer(query []byte) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.told[d.serial]; !ok {
		d.told[d.serial] = time.Now()
	}
	b := bytes.Clone(query)
	b[2] |= 0x80
	record := func(section int, name string, typ uint16, data []byte) {
		binary.BigEndian.PutUint16(b[section:], binary.BigEndian.Uint16(b[section:])+1)
		b = append(b, labels(name)...)
		b = append(binary.BigEndian.AppendUint16(b, typ), 0, 1, 0, 0, 0, 1)
		b = append(binary.BigEndian.AppendUint16(b, uint16(len(data))), data...)
	}
	host := func(e Entry) string { return e.Name + "." + e.Zone + ".hosts" }
	for _, e := range d.list {
		a, err := net.ResolveTCPAddr("tcp", e.Addr)
		if err != nil {
			continue
		}
		data := []byte{0, 0, 0, 10}
		if e.Draining {
			data[1] = 1
		}
		data = binary.BigEndian.AppendUint16(data, uint16(a.Port))
		record(6, "_back._tcp.pool.lan", 33, append(data, labels(host(e))...))
	}
	soa := append(labels("pool.lan"), labels("pool.lan")...)
	record(8, "pool.lan", 6, append(binary.BigEndian.AppendUint32(soa, d.serial), make([]byte, 16)...))
	for _, e := range d.list {
		a, err := net.ResolveTCPAddr("tcp", e.Addr)
		if err != nil {
			continue
		}
		record(10, host(e), 1, a.IP.To4())
		texts := []string{"kind=" + e.Kind, fmt.Sprintf("cell=%d", e.Cell), fmt.Sprintf("started=%d", e.Started)}
		for _, more := range e.More {
			switch network, addr, _ := strings.Cut(more, ":"); network {
			case "unix":
				texts = append(texts, "unix="+addr)
			case "tcp6":
				if ip, err := net.ResolveTCPAddr("tcp6", addr); err == nil {
					record(10, host(e), 28, ip.IP.To16())
				}
			}
		}
		var text []byte
		for _, s := range texts {
			text = append(append(text, byte(len(s))), s...)
		}
		record(10, host(e), 16, text)
	}
	return b
}

func labels(name string) (b []byte) {
	for label := range strings.SplitSeq(name, ".") {
		b = append(append(b, byte(len(label))), label...)
	}
	return append(b, 0)
}
