package fake

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"slices"
)

// Site is a fake installation: workers, and a discovery server that lists them.
type Site struct {
	Workers   []*Worker
	Discovery *DiscoveryServer
}

// NewSite starts workers and a discovery server at an address. It calls record, which may be nil, for every event at a
// worker, from any goroutine.
func NewSite(directory string, workers []WorkerConfig, record func(Event)) (*Site, error) {
	s := &Site{}
	for _, cfg := range workers {
		w, err := NewWorker(cfg, record)
		if err != nil {
			s.Close()
			return nil, err
		}
		s.Workers = append(s.Workers, w)
	}
	d, err := NewDiscoveryServer(directory, s.Endpoints())
	if err != nil {
		s.Close()
		return nil, err
	}
	s.Discovery = d
	return s, nil
}

// Endpoints returns the endpoint list in which all workers are ready.
func (s *Site) Endpoints() []Endpoint {
	list := make([]Endpoint, 0, len(s.Workers))
	for _, w := range s.Workers {
		entry := Endpoint{Name: w.Name, Addr: w.Addr, Kind: w.Kind, Zone: w.Zone, Cell: w.Cell}
		for _, p := range w.ports[1:] {
			entry.MoreAddrs = append(entry.MoreAddrs, p.Network+":"+p.Addr)
		}
		list = append(list, entry)
	}
	return list
}

// Close ends the workers and the discovery server, and returns once all their goroutines have ended.
func (s *Site) Close() {
	for _, w := range s.Workers {
		w.Close()
	}
	if s.Discovery != nil {
		s.Discovery.Close()
	}
}

// object is a JSON object.
type object = map[string]any

// Config returns the platform's configuration for a router that listens at an address: the example's classes and
// limits with this site's workers.
func (s *Site) Config(listen string) []byte {
	members := make([]object, 0, len(s.Workers))
	kinds := []string{}
	zones := []string{}
	for _, w := range s.Workers {
		members = append(members, object{
			"id": w.Name, "host_port": w.Addr, "locality": w.Zone, "flavor": w.Kind, "cell": w.Cell,
			"phase": "Ready", "size": 1, "up_since_ms": 0,
		})
		kinds = appendNew(kinds, w.Kind)
		zones = appendNew(zones, w.Zone)
	}
	topology := object{"revision": 1, "complete": true, "members": members}
	text, err := json.MarshalIndent(object{
		"name":     "n1",
		"listen":   listen,
		"seed":     "8c1f30d27a5be964",
		"limits":   object{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"names":    s.Discovery.Addr(),
		"known":    object{"offset": 1, "batch": []object{{"offset": 1, "topology": topology}}},
		"settings": settings(kinds, zones),
	}, "", "  ")
	if err != nil {
		panic(fmt.Sprintf("fake: the configuration can't be encoded: %v", err)) // it holds nothing but texts and numbers
	}
	return text
}

// settings returns the service's settings.
func settings(kinds, zones []string) object {
	return object{
		"classes": []object{
			class("dim-level", 400, 2000, 3, "safe"),
			class("fault-check", 600, 2500, 2, "safe"),
			class("repair-order", 1200, 3000, 5, "unsafe"),
		},
		"kinds":          kinds,
		"failureDomains": zones,
		"granularityMs":  4,
		"peersTotal":     1,
		"limits": object{
			"cancel": true, "dialTimeoutMs": 250, "keepaliveMs": 30000, "maxAttempts": 3, "maxOpen": 20000,
			"maxRetryAfterMs": 1000, "mayProbe": true, "retryAfter": true, "secondCopies": true, "streamsPerConn": 32,
		},
		"report": object{"fields": []string{"inflight"}, "how": "inline"},
		"rules":  object{"coldFrom": 0.18, "coldMs": 17000, "drainGraceMs": 1000, "fallMs": 1000, "fallMultiple": 2},
		"specifics": object{
			"ifCold": "miss", "lingerIdleMs": 9900, "loadFree": 4, "loadPart": 0.3, "loadWaitMs": 10000,
			"loadsWithinMs": 10000, "placementCalls": true, "warmNotes": true,
		},
	}
}

// class returns the settings of a class, its times in milliseconds.
func class(name string, objective, deadline, weight float64, semantics string) object {
	return object{
		"name": name, "goalTimeMs": objective, "deadlineMs": deadline, "semantics": semantics, "group": "all",
		"worth": weight, "lateWorth": 0.3,
	}
}

func appendNew(list []string, value string) []string {
	if slices.Contains(list, value) {
		return list
	}
	return append(list, value)
}

// WriteConfig writes the configuration to a file.
func (s *Site) WriteConfig(path, listen string) error {
	return os.WriteFile(path, s.Config(listen), 0o644)
}

// FreeAddr returns a loopback address that nothing listens on now.
func FreeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
