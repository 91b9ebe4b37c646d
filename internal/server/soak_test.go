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
	soakSeedsVariable = "CRANKHOLD_SOAK_SEEDS" // FIRST:COUNT of the seeds to play, by hand
	soakSeeds         = 26                     // of a run in CI
	soakParallel      = 4

	faultPeriod      = 1500 * time.Millisecond // under faults, before SIGTERM
	responseSlack    = 500 * time.Millisecond  // beyond its wait a request without an answer is lost
	cancelSlack      = 100 * time.Millisecond  // after its client has gone no attempt of a request may begin
	busyMachineSlack = 200 * time.Millisecond  // for a machine that is busy with other tests
	closeRaceWindow  = 50 * time.Millisecond   // a request that is sent so shortly before a close is sent once more

	connectPeriod = 400 * time.Millisecond // after SIGTERM, in which clients still open them
	maxDrainLoad  = 0.6                    // processors that a program may use on average while it drains
)

// endsWithResponseDue finds reports of connections that a program ended though a response was due.
var endsWithResponseDue = regexp.MustCompile(`ended_by=(handler|room|timeout|shutdown|failure) connections=\d+ response_due=[1-9]\d*`)

// soakExchange is one sending of a request, over a connection on which nothing else is open.
type soakExchange struct {
	sentAt         time.Time
	endedAt        time.Time
	connectionLost bool // the connection ended without an answer
}

// soakRequest is what is known of one request.
type soakRequest struct {
	id            string
	notIdempotent bool
	timeout       time.Duration
	canceling     bool      // its client goes before it has an answer
	canceledAt    time.Time // when it went; zero: it did not
	responses     int
	exchanges     []soakExchange
	attempts      []time.Time
}

// soak is one play: routers under faults that follow from a seed, with clients that send until these are killed.
type soak struct {
	t                 *testing.T
	random            *rand.Rand
	site              *fake.Site
	draining          []*program // are told to end together
	remaining         *program   // goes on: a request that crosses a close is sent to it once more
	deadline          time.Duration
	cancelers         bool
	shortConnections  bool // clients open a new connection after a few requests
	atDescriptorLimit bool // there is not room for all clients: some are closed unread, and come again
	stoppedAt         time.Time
	maxDrainLoad      float64 // processors that a program used on average while it drained, at most
	delays            schedulingDelays

	mu             sync.Mutex
	requests       map[string]*soakRequest
	sentToDraining []string // attempts at a worker that drains
	drainDeadlines map[string]time.Time
	running        sync.WaitGroup
	stopConnecting chan struct{}
}

// recordEvent keeps what arrived at a worker.
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

// injectFault does something to a worker, to discovery or to the program.
func (s *soak) injectFault() {
	worker := s.site.Workers[s.random.IntN(len(s.site.Workers)-1)] // the last one is left alone
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
		port.Set(fake.Modes[s.random.IntN(len(fake.Modes))])
	case 5:
		port.Set(fake.ModeHealthy)
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

// drainWorker has discovery list a worker as draining, once in a play.
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
	s.site.Discovery.Set(entries)
	const told, grace = 1500 * time.Millisecond, time.Second
	s.drainDeadlines[worker.Name] = time.Now().Add(told + grace + busyMachineSlack)
}

// run runs the clients and the faults, ends the programs as the platform does, and kills them at the earliest.
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
			s.t.Errorf("a program ended with %v", err)
		}
		drain := time.Since(s.stoppedAt)
		load := float64(program.processorTime()-usedBefore[i]) / float64(drain)
		if load > maxDrainLoad {
			s.t.Errorf("a program used %.2f processors while it drained for %v, and %v are allowed", load, drain, maxDrainLoad)
		}
		s.maxDrainLoad = max(s.maxDrainLoad, load)
	}
	s.running.Wait()
	if err := s.remaining.terminate(); err != nil {
		s.t.Errorf("the program that remains ended with %v", err)
	}
}

// signal sends the draining programs further signals, some of them at once.
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

// kill ends the programs that have not ended.
func (s *soak) kill() {
	for _, program := range s.draining {
		program.cmd.Process.Kill()
	}
}

// startClient runs a client with a random source of its own.
func (s *soak) startClient(number int, run func(*rand.Rand)) {
	random := rand.New(rand.NewPCG(s.random.Uint64(), uint64(number)))
	s.running.Go(func() { run(random) })
}

// checkRequests accounts for every request, by what its client saw.
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
		s.t.Errorf("%d requests were read, %d were answered and %d clients went", accepted, totalResponses, canceled)
	}
	for _, program := range append(s.draining, s.remaining) {
		for _, ends := range endsWithResponseDue.FindAllString(program.output(), -1) {
			s.t.Errorf("a program closed connections on which a response was due: %s", ends)
		}
	}
	if len(s.sentToDraining) > 0 {
		s.t.Errorf("%d requests went to a draining worker", len(s.sentToDraining))
	}
	s.t.Logf("requests=%d answered=%d left=%d crossed=%d taken=%d deadline=%v routers=%d crowded=%v load=%.2f lateness=%v",
		len(s.requests), totalResponses, canceled, resent, accepted, s.deadline, len(s.draining), s.atDescriptorLimit, s.maxDrainLoad, s.delays.longest())
}

// checkResponse checks that a request had its answer in its time, or crossed a close of the drain and had it the second
// time. Where there is no room for all clients, connections are closed at other times too, and more than once.
func (s *soak) checkResponse(r *soakRequest) {
	for i, exchange := range r.exchanges {
		took := exchange.endedAt.Sub(exchange.sentAt)
		switch delays := s.delays.within(exchange.sentAt, exchange.endedAt); {
		case !exchange.connectionLost && took > r.timeout+responseSlack+delays:
			s.t.Errorf("%s was answered after %v of %v", r.id, took, r.timeout)
		case exchange.connectionLost && took > closeRaceWindow+delays:
			s.t.Errorf("%s has no answer: its connection ended %v after it was sent, and %v are allowed", r.id, took, closeRaceWindow+delays)
		case exchange.connectionLost && exchange.endedAt.Before(s.stoppedAt) && !s.atDescriptorLimit:
			s.t.Errorf("%s has no answer: its connection ended %v before SIGTERM", r.id, s.stoppedAt.Sub(exchange.endedAt))
		case exchange.connectionLost && i > 0 && !s.atDescriptorLimit:
			s.t.Errorf("%s has no answer: it was sent once more, and its connection ended again", r.id)
		}
	}
}

// checkCanceled checks that no attempt of a request began after its client had gone.
func (s *soak) checkCanceled(r *soakRequest) {
	for _, at := range r.attempts {
		if !r.canceledAt.IsZero() && at.After(r.canceledAt.Add(cancelSlack+busyMachineSlack)) {
			s.t.Errorf("%s: an attempt began %v after its client had gone", r.id, at.Sub(r.canceledAt))
		}
	}
	if r.notIdempotent && len(r.attempts) > 1 {
		s.t.Errorf("%s ran %d times", r.id, len(r.attempts))
	}
}

// drawSettings draws the settings that matter for the rules.
func (s *soak) drawSettings(document map[string]any) {
	deadlines := []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second}
	s.deadline = deadlines[s.random.IntN(len(deadlines))]
	setDeadlines(document, s.deadline)
	limits := document["settings"].(map[string]any)["limits"].(map[string]any)
	limits["cancel"] = s.random.IntN(2) == 0
	limits["mayProbe"] = s.random.IntN(2) == 0
	limits["dialTimeoutMs"] = []int{250, 1000}[s.random.IntN(2)]
	limits["maxAttempts"] = 1 + s.random.IntN(5)
	if s.random.IntN(4) == 0 { // few descriptors: clients make room for each other
		document["limits"].(map[string]any)["sockets"] = 96
		s.atDescriptorLimit = true
		s.cancelers = false // so that each request that was read is accounted for
		s.shortConnections = false
	}
}

// runSoak plays one seed.
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

// startPrograms starts one to three programs that drain together, in some plays on one processor, and one that remains.
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

// startProgram starts a program that listens on an address, and returns once it does.
func (s *soak) startProgram(listen string, document map[string]any, wrapper ...string) *program {
	s.t.Helper()
	document["listen"] = listen
	program := startProgramWith(s.t, document, listen, wrapper...)
	program.client().Close()
	return program
}

// The real program under drawn faults, settings and signals, with clients that send on open connections until it is killed
// at the earliest: each request has exactly one final answer in its time, or crosses a close within 50 ms and has it once
// it is sent again; none that must not repeat runs twice, none begins after its client has gone, and none goes to a worker
// that drains. The program ends by itself, and does not spin. CRANKHOLD_SOAK_SEEDS=FIRST:COUNT plays more.
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
