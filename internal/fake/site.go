package fake

import (
	"net"
	"os"
)

// Site is a fake installation: workers, and a discovery server that lists them.
type Site struct {
	Workers   []*Worker
	Discovery *DiscoveryServer
	MemoryMB  int // memory limit in configurations; 0: defaultMemoryMB
}

// NewSite starts workers, and a discovery server that listens on the given address. It passes record to NewWorker.
func NewSite(discoveryAddr string, workers []WorkerConfig, record func(Event)) (*Site, error) {
	s := &Site{}
	for _, cfg := range workers {
		w, err := NewWorker(cfg, record)
		if err != nil {
			s.Close()
			return nil, err
		}
		s.Workers = append(s.Workers, w)
	}
	d, err := NewDiscoveryServer(discoveryAddr, s.Endpoints())
	if err != nil {
		s.Close()
		return nil, err
	}
	s.Discovery = d
	return s, nil
}

// Endpoints returns an endpoint list of all workers, in which none of them is draining.
func (s *Site) Endpoints() []Endpoint {
	list := make([]Endpoint, 0, len(s.Workers))
	for _, w := range s.Workers {
		endpoint := Endpoint{Name: w.Name, Addr: w.Addr, Kind: w.Kind, Zone: w.Zone, Cell: w.Cell}
		for _, p := range w.ports[1:] {
			endpoint.MoreAddrs = append(endpoint.MoreAddrs, p.Address)
		}
		list = append(list, endpoint)
	}
	return list
}

// Close stops the workers and the discovery server, and blocks until all their goroutines have stopped.
func (s *Site) Close() {
	for _, w := range s.Workers {
		w.Close()
	}
	if s.Discovery != nil {
		s.Discovery.Close()
	}
}

// WriteConfig writes the configuration of a router that listens on the given address to a file.
func (s *Site) WriteConfig(path, listen string) error {
	return os.WriteFile(path, s.Config(listen), 0o644)
}

// FreeAddr returns a loopback address that nothing listens on when it returns.
func FreeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
