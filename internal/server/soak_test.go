package server

import (
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"crankhold/internal/fake"
)

const (
	soakSeedsVariable = "CRANKHOLD_SOAK_SEEDS" // FIRST:COUNT of the seeds to run, set by hand
	soakSeeds         = 26                     // number of seeds in a run of CI
	soakParallel      = 4

	faultPeriod      = 1500 * time.Millisecond // time under faults before SIGTERM
	responseSlack    = 500 * time.Millisecond  // how much later than its timeout a response may arrive
	cancelSlack      = 100 * time.Millisecond  // how long after a client has canceled a request its attempts may start
	busyMachineSlack = 200 * time.Millisecond  // additional slack for a machine that is busy with other tests
	closeRaceWindow  = 50 * time.Millisecond   // a request sent this shortly before a close is sent once more

	connectPeriod = 400 * time.Millisecond // how long after SIGTERM clients still open connections
	maxDrainLoad  = 0.6                    // processors that a program may use on average while it drains
)

// closedWithResponseDue matches log lines about connections that a program closed although a response was due.
var closedWithResponseDue = regexp.MustCompile(`ended_by=(handler|room|timeout|shutdown|failure) connections=\d+ response_due=[1-9]\d*`)

// soakExchange is one transmission of a request, over a connection on which no other request is open.
type soakExchange struct {
	sentAt         time.Time
	endedAt        time.Time
	connectionLost bool // the connection was closed before the response
}

// soakRequest records what happened to one request.
type soakRequest struct {
	id            string
	notIdempotent bool
	timeout       time.Duration
	canceling     bool      // its client cancels it or closes the connection before the response
	canceledAt    time.Time // when the client did so, or zero
	responses     int
	exchanges     []soakExchange
	attempts      []time.Time
}

// soak is one run of the soak test: routers under faults that are drawn from a seed, and clients that send requests
// until the routers are killed.
type soak struct {
	t                 *testing.T
	random            *rand.Rand
	site              *fake.Site
	draining          []*program // the routers that are shut down together
	remaining         *program   // a router that is not shut down: it gets the requests that crossed a close
	deadline          time.Duration
	cancelers         bool
	shortConnections  bool // clients open a new connection after a few requests
	atDescriptorLimit bool // too few descriptors for all clients: some are closed unread, and connect again
	stoppedAt         time.Time
	maxDrainLoad      float64 // the highest average number of processors that a program used while it drained
	delays            schedulingDelays

	mu             sync.Mutex
	requests       map[string]*soakRequest
	sentToDraining []string             // ids of requests that were sent to a draining worker
	drainDeadlines map[string]time.Time // after which a draining worker may get no request, by its name
	running        sync.WaitGroup
	stopConnecting chan struct{}
}

// recordEvent records a request that arrived at a worker.
func (s *soak) recordEvent(e fake.Event) {
	if e.Kind != fake.EventStarted && e.Kind != fake.EventNotLoaded {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.requests[e.ID]; r != nil && e.Kind == fake.EventStarted {
		r.attempts = append(r.attempts, e.At)
	}
	if until, drains := s.drainDeadlines[e.Worker.Name]; drains && e.At.After(until) {
		s.sentToDraining = append(s.sentToDraining, e.ID)
	}
}

// injectFault injects a fault into a worker or discovery, ends one, or sends a signal to a program.
func (s *soak) injectFault() {
	worker := s.site.Workers[s.random.IntN(len(s.site.Workers)-1)] // the last worker stays free of faults
	port := worker.Ports()[0]
	switch s.random.IntN(9) {
	case 0:
		worker.Hang()
	case 1:
		worker.Resume()
	case 2:
		worker.Kill()
	case 3:
		if err := worker.Start(); err != nil {
			s.t.Log(err)
		}
	case 4:
		port.SetMode(fake.Modes[s.random.IntN(len(fake.Modes))])
	case 5:
		port.SetMode(fake.ModeHealthy)
	case 6:
		fails := s.random.IntN(2) == 0
		worker.FailRequests(func(string) bool { return fails })
	case 7:
		program := s.draining[s.random.IntN(len(s.draining))]
		program.cmd.Process.Signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1}[s.random.IntN(2)])
	case 8:
		s.drainWorker(worker)
	}
}

// drainWorker makes discovery list a worker as draining, at most once in a run.
func (s *soak) drainWorker(worker *fake.Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.drainDeadlines) > 0 {
		return
	}
	entries := s.site.Endpoints()
	for i := range entries {
		entries[i].Draining = entries[i].Name == worker.Name
	}
	s.site.Discovery.SetEndpoints(entries)
	const announceDelay, gracePeriod = 1500 * time.Millisecond, time.Second
	s.drainDeadlines[worker.Name] = time.Now().Add(announceDelay + gracePeriod + busyMachineSlack)
}

// run starts the clients, injects the faults, sends SIGTERM to the programs as the platform does, and kills them at the
// earliest time at which the platform would.
func (s *soak) run(clients int) {
	for i := range clients {
		s.startClient(i, s.sendUntilKilled)
		if s.cancelers && i%2 == 0 {
			s.startClient(i, s.cancelRequests)
		}
		if s.atDescriptorLimit && i%6 == 0 {
			s.startClient(i, s.openAndClose)
		}
	}
	faults := 6 + s.random.IntN(8)
	for range faults {
		time.Sleep(faultPeriod / time.Duration(faults))
		s.injectFault()
	}
	usedBefore := make([]time.Duration, len(s.draining))
	for i, program := range s.draining {
		usedBefore[i] = program.processorTime()
		program.cmd.Process.Signal(syscall.SIGTERM)
	}
	s.stoppedAt = time.Now()
	time.AfterFunc(connectPeriod, func() { close(s.stopConnecting) })
	kill := time.AfterFunc(earliestKill(s.deadline), s.kill)
	defer kill.Stop()
	s.signal()
	for i, program := range s.draining {
		if err := <-program.exited; err != nil {
			s.t.Errorf("a program exited with %v", err)
		}
		drain := time.Since(s.stoppedAt)
		load := float64(program.processorTime()-usedBefore[i]) / float64(drain)
		if load > maxDrainLoad {
			s.t.Errorf("a program used %.2f processors on average while it drained for %v, want at most %v", load, drain, maxDrainLoad)
		}
		s.maxDrainLoad = max(s.maxDrainLoad, load)
	}
	s.running.Wait()
	if err := s.remaining.terminate(); err != nil {
		s.t.Errorf("the remaining program exited with %v", err)
	}
}

// signal sends more signals to the draining programs, some of them immediately after each other.
func (s *soak) signal() {
	signals := []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGINT}
	for range s.random.IntN(6) {
		if s.random.IntN(2) == 0 {
			time.Sleep(time.Duration(s.random.IntN(200)) * time.Millisecond)
		}
		signal := signals[s.random.IntN(len(signals))]
		for _, program := range s.draining {
			program.cmd.Process.Signal(signal)
		}
	}
}

// kill kills the programs that have not exited.
func (s *soak) kill() {
	for _, program := range s.draining {
		program.cmd.Process.Kill()
	}
}

// startClient runs a client with its own random source.
func (s *soak) startClient(number int, run func(*rand.Rand)) {
	random := rand.New(rand.NewPCG(s.random.Uint64(), uint64(number)))
	s.running.Go(func() { run(random) })
}

// checkRequests checks what happened to each request, by what its client and the workers recorded.
func (s *soak) checkRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	totalResponses, canceled, resent := 0, 0, 0
	for _, r := range s.requests {
		totalResponses += r.responses
		if r.canceling {
			canceled++
			s.checkCanceled(r)
			continue
		}
		resent += len(r.exchanges) - 1
		s.checkResponse(r)
		if r.notIdempotent && len(r.attempts) > 1 {
			s.t.Errorf("%s ran %d times", r.id, len(r.attempts))
		}
	}
	accepted := thriftCounter(s.t, s.remaining.output(), "accepted")
	for _, program := range s.draining {
		accepted += thriftCounter(s.t, program.output(), "accepted")
	}
	if accepted < totalResponses || accepted > totalResponses+canceled {
		s.t.Errorf("%d requests were accepted, %d responses arrived and %d requests were canceled", accepted, totalResponses, canceled)
	}
	for _, program := range append(s.draining, s.remaining) {
		for _, ends := range closedWithResponseDue.FindAllString(program.output(), -1) {
			s.t.Errorf("a program closed connections on which a response was due: %s", ends)
		}
	}
	if len(s.sentToDraining) > 0 {
		s.t.Errorf("%d requests were sent to a draining worker", len(s.sentToDraining))
	}
	s.t.Logf("requests=%d answered=%d left=%d crossed=%d taken=%d deadline=%v routers=%d crowded=%v load=%.2f lateness=%v",
		len(s.requests), totalResponses, canceled, resent, accepted, s.deadline, len(s.draining), s.atDescriptorLimit, s.maxDrainLoad, s.delays.longest())
}

// checkResponse checks that a request got its response in time, or crossed a close of the drain and got its response
// when it was sent again. If there are too few descriptors for all clients, connections are also closed at other times,
// and more than once.
func (s *soak) checkResponse(r *soakRequest) {
	for i, exchange := range r.exchanges {
		took := exchange.endedAt.Sub(exchange.sentAt)
		switch delays := s.delays.within(exchange.sentAt, exchange.endedAt); {
		case !exchange.connectionLost && took > r.timeout+responseSlack+delays:
			s.t.Errorf("%s got its response after %v, and its timeout is %v", r.id, took, r.timeout)
		case exchange.connectionLost && took > closeRaceWindow+delays:
			s.t.Errorf("%s has no response: its connection was closed %v after it was sent, and %v are allowed", r.id, took, closeRaceWindow+delays)
		case exchange.connectionLost && exchange.endedAt.Before(s.stoppedAt) && !s.atDescriptorLimit:
			s.t.Errorf("%s has no response: its connection was closed %v before SIGTERM", r.id, s.stoppedAt.Sub(exchange.endedAt))
		case exchange.connectionLost && i > 0 && !s.atDescriptorLimit:
			s.t.Errorf("%s has no response: it was sent once more, and its connection was closed again", r.id)
		}
	}
}

// checkCanceled checks that no attempt of a request started after its client had canceled it.
func (s *soak) checkCanceled(r *soakRequest) {
	for _, at := range r.attempts {
		if !r.canceledAt.IsZero() && at.After(r.canceledAt.Add(cancelSlack+busyMachineSlack)) {
			s.t.Errorf("%s: an attempt started %v after its client had canceled it", r.id, at.Sub(r.canceledAt))
		}
	}
	if r.notIdempotent && len(r.attempts) > 1 {
		s.t.Errorf("%s ran %d times", r.id, len(r.attempts))
	}
}

// drawSettings draws the settings on which the checked rules depend.
func (s *soak) drawSettings(document map[string]any) {
	deadlines := []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second}
	s.deadline = deadlines[s.random.IntN(len(deadlines))]
	setDeadlines(document, s.deadline)
	limits := document["settings"].(map[string]any)["limits"].(map[string]any)
	limits["cancel"] = s.random.IntN(2) == 0
	limits["mayProbe"] = s.random.IntN(2) == 0
	limits["dialTimeoutMs"] = []int{250, 1000}[s.random.IntN(2)]
	limits["maxAttempts"] = 1 + s.random.IntN(5)
	if s.random.IntN(4) == 0 { // too few descriptors: the router closes some clients' connections for new ones
		document["limits"].(map[string]any)["sockets"] = 96
		s.atDescriptorLimit = true
		s.cancelers = false // so that each accepted request must have a response
		s.shortConnections = false
	}
}

// runSoak runs the soak test with one seed.
func runSoak(t *testing.T, seed uint64) {
	s := &soak{t: t, random: rand.New(rand.NewPCG(seed, 34)), requests: map[string]*soakRequest{}, drainDeadlines: map[string]time.Time{}, stopConnecting: make(chan struct{})}
	site, listen, document := newSite(t, 4, s.recordEvent)
	s.site = site
	for _, worker := range site.Workers {
		worker.ServiceTime = time.Duration(1+s.random.IntN(30)) * time.Millisecond
	}
	s.cancelers = s.random.IntN(2) == 0
	s.shortConnections = s.random.IntN(2) == 0
	s.drawSettings(document)
	s.startPrograms(listen, document)
	clients := 12
	if s.atDescriptorLimit || s.random.IntN(3) == 0 {
		clients = 60
	}
	done := make(chan struct{})
	go s.delays.measure(done)
	s.run(clients)
	close(done)
	s.checkRequests()
}

// startPrograms starts one to three programs that drain together, and one that remains. In some runs, those that drain
// share one processor.
func (s *soak) startPrograms(listen string, document map[string]any) {
	s.t.Helper()
	var wrapper []string
	if s.random.IntN(2) == 0 {
		wrapper = []string{"taskset", "-c", strconv.Itoa(firstProcessor(s.t))}
	}
	for range 1 + s.random.IntN(3) {
		s.draining = append(s.draining, s.startProgram(listen, document, wrapper...))
		listen = freeAddr(s.t)
	}
	s.remaining = s.startProgram(listen, document)
}

// startProgram starts a program that listens on an address, and returns once it listens.
func (s *soak) startProgram(listen string, document map[string]any, wrapper ...string) *program {
	s.t.Helper()
	document["listen"] = listen
	program := startProgramWithDocument(s.t, document, listen, wrapper...)
	program.client().Close()
	return program
}

// Runs the real program under random faults, settings and signals. Clients send requests on open connections until the
// program is killed at the earliest possible time. Each request gets exactly one final response in time, or crosses a
// close within 50 ms and gets its response when it is sent again. No request that is not idempotent runs twice, no
// attempt starts after its client has canceled the request, and no request is sent to a draining worker. The program
// exits by itself, and does not use much processor time. CRANKHOLD_SOAK_SEEDS=FIRST:COUNT runs other seeds.
func TestSoak(t *testing.T) {
	first, count := uint64(1), uint64(soakSeeds)
	if text := os.Getenv(soakSeedsVariable); text != "" {
		if _, err := fmt.Sscanf(text, "%d:%d", &first, &count); err != nil {
			t.Fatalf("%s: %v", soakSeedsVariable, err)
		}
	}
	slots := make(chan struct{}, soakParallel)
	for seed := first; seed < first+count; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			runSoak(t, seed)
		})
	}
}
