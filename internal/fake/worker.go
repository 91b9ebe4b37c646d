package fake

import (
	"net"
	"sync"
	"time"
)

// WorkerConfig describes a fake worker.
type WorkerConfig struct {
	Name      string
	Addr      string    // IPv4 address to listen on; port 0 selects a free port
	MoreAddrs []Address // further addresses; one of NetworkTCP6 is a host without a port and uses the port of Addr
	Kind      string
	Zone      string
	Cell      int

	ServiceTime time.Duration // how long the execution of a request takes
	LoadTime    time.Duration // how long loading a replica takes
	KeepAlive   time.Duration // idle time after which a replica is unloaded; 0 means never
	Lanes       int           // how many requests a replica executes at a time
	Queue       int           // how many requests may wait for a lane; further ones are rejected
	Warm        bool          // every function that it knows counts as loaded
	Known       []string      // keys of the functions that it can load; empty: any function
}

// Worker is a fake worker: its ports accept connections, and each connection has a goroutine that executes its
// commands. All methods may be called from any goroutine.
type Worker struct {
	WorkerConfig
	ports  []*Port
	record func(Event)
	timers *timers // complete requests and loads

	mu         sync.Mutex          // guards the fields below, and the state of replicas, connections and executions
	replicas   map[string]*replica // by function key
	inFlight   int                 // number of accepted requests that are not done
	hanging    bool
	shouldFail func(id string) bool // selects the requests that fail; nil if none do
}

// NewWorker starts a worker. The worker calls record for every event, on any goroutine and while it is locked, so
// record must not call the worker's methods. record may be nil.
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

// listen adds a further address. An IPv6 address is omitted if this machine has no IPv6 or the port is in use.
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

// Ports returns the worker's addresses, with the IPv4 address first.
func (w *Worker) Ports() []*Port { return w.ports }

// Kill simulates the exit of the worker's process: its connections are reset, new ones are refused, and its replicas
// are lost. It does nothing if the worker is already down.
func (w *Worker) Kill() {
	for _, p := range w.ports {
		p.shutDown()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replicas = map[string]*replica{} // requests in flight are marked done when their connections are closed
}

// Start starts the worker again after Kill, without replicas and on the same addresses.
func (w *Worker) Start() error {
	for _, p := range w.ports {
		if err := p.SetMode(ModeHealthy); err != nil {
			return err
		}
	}
	return nil
}

// Hang makes the worker accept requests without responding to them, until Resume is called.
func (w *Worker) Hang() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hanging = true
}

// Resume reverts Hang. Requests whose service time ended while the worker hung get no response.
func (w *Worker) Resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hanging = false
}

// FailRequests makes the worker respond with an error to the requests for whose ids shouldFail returns true. If
// shouldFail is nil, no more requests fail.
func (w *Worker) FailRequests(shouldFail func(id string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shouldFail = shouldFail
}

// Close stops the worker permanently. It blocks until all its goroutines have stopped.
func (w *Worker) Close() {
	w.Kill()
	w.timers.close()
	for _, p := range w.ports {
		p.serving.Wait()
	}
}
