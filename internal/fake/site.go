package fake

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
)

// Site is a whole stand-in installation: workers, and a directory that lists them.
type Site struct {
	Workers   []*Worker
	Directory *Directory
}

// NewSite starts workers and their directory, on free ports unless the configurations name some.
func NewSite(directory string, workers []WorkerConfig, record func(Event)) (*Site, error) {
	s := &Site{}
	for _, c := range workers {
		w, err := NewWorker(c, record)
		if err != nil {
			s.Close()
			return nil, err
		}
		s.Workers = append(s.Workers, w)
	}
	var err error
	if s.Directory, err = NewDirectory(directory, s.Entries()); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Entries lists the workers as ready.
func (s *Site) Entries() (list []Entry) {
	for _, w := range s.Workers {
		e := Entry{Name: w.Name, Addr: w.Addr, Kind: w.Kind, Zone: w.Zone, Cell: w.Cell}
		for _, p := range w.ports[1:] {
			e.More = append(e.More, p.Network+":"+p.Addr)
		}
		list = append(list, e)
	}
	return list
}

// Close ends all of it.
func (s *Site) Close() {
	for _, w := range s.Workers {
		w.Close()
	}
	if s.Directory != nil {
		s.Directory.Close()
	}
}

// object is a JSON object.
type object = map[string]any

// Config returns the platform's configuration for a router that listens at an address: the example's classes and
// limits with this site's workers.
func (s *Site) Config(listen string) []byte {
	var members []object
	kinds, zones := []string{}, []string{}
	add := func(list []string, v string) []string {
		for _, x := range list {
			if x == v {
				return list
			}
		}
		return append(list, v)
	}
	for _, w := range s.Workers {
		members = append(members, object{"id": w.Name, "host_port": w.Addr, "locality": w.Zone, "flavor": w.Kind, "cell": w.Cell, "phase": "Ready", "size": 1, "up_since_ms": 0})
		kinds, zones = add(kinds, w.Kind), add(zones, w.Zone)
	}
	class := func(name string, aim, deadline, worth float64, semantics string) object {
		return object{"name": name, "goalTimeMs": aim, "deadlineMs": deadline, "semantics": semantics, "group": "all", "worth": worth, "lateWorth": 0.3}
	}
	text, err := json.MarshalIndent(object{"name": "n1", "listen": listen, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1, "memory_mb": 192, "sockets": 1024}, "names": s.Directory.Addr(),
		"known": object{"offset": 1, "batch": []object{{"offset": 1, "topology": object{"revision": 1, "complete": true, "members": members}}}},
		"settings": object{
			"classes": []object{class("dim-level", 400, 2000, 3, "safe"), class("fault-check", 600, 2500, 2, "safe"), class("repair-order", 1200, 3000, 5, "unsafe")},
			"kinds":   kinds, "failureDomains": zones, "granularityMs": 4, "peersTotal": 1,
			"limits": object{"cancel": true, "dialTimeoutMs": 250, "keepaliveMs": 30000, "maxAttempts": 3, "maxOpen": 20000, "maxRetryAfterMs": 1000,
				"mayProbe": true, "retryAfter": true, "secondCopies": true, "streamsPerConn": 32},
			"report": object{"fields": []string{"inflight"}, "how": "inline"},
			"rules":  object{"coldFrom": 0.18, "coldMs": 17000, "drainGraceMs": 1000, "fallMs": 1000, "fallMultiple": 2},
			"specifics": object{"ifCold": "miss", "lingerIdleMs": 9900, "loadFree": 4, "loadPart": 0.3, "loadWaitMs": 10000, "loadsWithinMs": 10000,
				"placementCalls": true, "warmNotes": true}}}, "", "  ")
	if err != nil {
		panic(fmt.Sprintf("fleet: the configuration can't be worded: %v", err)) // of our own making
	}
	return text
}

// WriteConfig writes the configuration to a file.
func (s *Site) WriteConfig(path, listen string) error {
	return os.WriteFile(path, s.Config(listen), 0o644)
}

// FreeAddr returns a loopback address that nothing listens on now.
func FreeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
