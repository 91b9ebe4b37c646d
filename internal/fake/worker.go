package fake

import (
	"net"
	"sync"
	"time"
)

// WorkerConfig describes a fake worker.
type WorkerConfig struct {
	Name      string
	Addr      string    // to listen on, by IPv4; port 0 takes a free one
	MoreAddrs []Address // further addresses; one by NetworkTCP6 is a host without a port and takes the port of Addr
	Kind      string
	Zone      string
	Cell      int

	ServiceTime time.Duration // how long the work on a request takes
	LoadTime    time.Duration // how long loading a replica takes
	KeepAlive   time.Duration // after which an idle replica is unloaded; 0 for never
	Lanes       int           // requests at a time of a replica
	Queue       int           // requests that wait for a lane; further ones are rejected
	Warm        bool          // every function counts as loaded
}

// Worker is a fake worker: its ports accept connections, and a goroutine for each of them carries out commands. All
// methods may be called from any goroutine.
type Worker struct {
	WorkerConfig
	ports  []*Port
	record func(Event)
	timers *timers // of the work on requests and of loads

	mu         sync.Mutex          // guards what follows, and the state of replicas, connections and executions
	replicas   map[string]*replica // by function key
	inFlight   int                 // requests that were accepted and are not over
	hanging    bool
	shouldFail func(id string) bool // selects the requests that fail; nil for none
}

// NewWorker starts a worker. It calls record, which may be nil, for every event, from any goroutine and with the worker
// locked: record must not call the worker.
func NewWorker(cfg WorkerConfig, record func(Event)) (*Worker, error) {
	if record == nil {
		record = func(Event) {}
	}
	w := &Worker{
		WorkerConfig: cfg,
		record:       record,
		replicas:     map[string]*replica{},
		timers:       newTimers(),
	}
	first, err := openPort(w, Address{Network: NetworkTCP4, Addr: cfg.Addr})
	if err != nil {
		return nil, err
	}
	w.Addr = first.Addr
	w.ports = []*Port{first}
	for _, address := range cfg.MoreAddrs {
		if err := w.listen(address); err != nil {
			w.Close()
			return nil, err
		}
	}
	return w, nil
}

// listen adds a further address. IPv6 is left out where this machine has none or the port is taken there.
func (w *Worker) listen(address Address) error {
	if address.Network == NetworkTCP6 {
		_, port, err := net.SplitHostPort(w.Addr)
		if err != nil {
			return err
		}
		address.Addr = net.JoinHostPort(address.Addr, port)
	}
	p, err := openPort(w, address)
	if err != nil && address.Network == NetworkTCP6 {
		return nil
	}
	if err != nil {
		return err
	}
	w.ports = append(w.ports, p)
	return nil
}

// Ports returns the worker's addresses, the one of IPv4 first.
func (w *Worker) Ports() []*Port { return w.ports }

// Kill ends the process that the worker simulates: its connections are reset, new ones refused, and its replicas
// are lost. It does nothing at one that is down.
func (w *Worker) Kill() {
	for _, p := range w.ports {
		p.shutDown()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replicas = map[string]*replica{} // requests in flight end with their connections
}

// Start brings the worker back after Kill, without replicas, at the same addresses.
func (w *Worker) Start() error {
	for _, p := range w.ports {
		if err := p.Set(ModeHealthy); err != nil {
			return err
		}
	}
	return nil
}

// Hang has the worker accept requests and respond to none, until Resume.
func (w *Worker) Hang() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hanging = true
}

// Resume ends Hang. Requests whose work ended meanwhile never have a response.
func (w *Worker) Resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hanging = false
}

// FailRequests has the worker respond with an error to the requests whose ids fails selects. If fails is nil, no
// request fails any more.
func (w *Worker) FailRequests(shouldFail func(id string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shouldFail = shouldFail
}

// Close ends the worker for good. It blocks until all its goroutines have ended.
func (w *Worker) Close() {
	w.Kill()
	w.timers.close()
	for _, p := range w.ports {
		p.serving.Wait()
	}
}
