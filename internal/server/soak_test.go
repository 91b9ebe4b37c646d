package server

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"crankhold/internal/fake"
)

const (
	soakSeedsVariable = "CRANKHOLD_SOAK_SEEDS" // FIRST:COUNT of the seeds to play, by hand
	soakSeeds         = 8                      // of a run in CI
	soakParallel      = 4

	soakLead    = 1500 * time.Millisecond // under faults, before SIGTERM
	answerSlack = 500 * time.Millisecond  // beyond its wait a request without an answer is lost
	goneSlack   = 100 * time.Millisecond  // after its client has gone no attempt of a request may begin
	busySlack   = 200 * time.Millisecond  // for a machine that is busy with other tests
)

// soakRequest is what is known of one request.
type soakRequest struct {
	id       string
	unsafe   bool
	sentAt   time.Time
	wait     time.Duration
	leaver   bool      // its client goes before it has an answer
	goneAt   time.Time // when it went; zero: it did not
	answers  int
	endedAt  time.Time
	broken   bool // its connection ended without an answer
	attempts []time.Time
}

// soak is one play: the program under faults that follow from a seed, with clients that send until it is killed.
type soak struct {
	t        *testing.T
	random   *rand.Rand
	site     *fake.Site
	program  *program
	deadline time.Duration
	leavers  bool
	crowded  bool // there is not room for all clients: some are closed unread, and come again

	mu       sync.Mutex
	requests map[string]*soakRequest
	late     []string // attempts at a worker that drains
	drained  map[string]time.Time
	running  sync.WaitGroup
	stop     chan struct{}
}

// record keeps what arrived at a worker.
func (s *soak) record(e fake.Event) {
	if e.Kind != fake.EventStarted && e.Kind != fake.EventNotLoaded {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.requests[e.ID]; r != nil && e.Kind == fake.EventStarted {
		r.attempts = append(r.attempts, e.At)
	}
	if until, drains := s.drained[e.Worker.Name]; drains && e.At.After(until) {
		s.late = append(s.late, e.ID)
	}
}

// disturb does something to a worker, to discovery or to the program.
func (s *soak) disturb() {
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
		s.program.cmd.Process.Signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1}[s.random.IntN(2)])
	case 8:
		s.drain(worker)
	}
}

// drain has discovery list a worker as draining, once in a play.
func (s *soak) drain(worker *fake.Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.drained) > 0 {
		return
	}
	entries := s.site.Endpoints()
	for i := range entries {
		entries[i].Draining = entries[i].Name == worker.Name
	}
	s.site.Discovery.Set(entries)
	const told, grace = 1500 * time.Millisecond, time.Second
	s.drained[worker.Name] = time.Now().Add(told + grace + busySlack)
}

// play runs the clients and the faults, ends the program as the platform does, and kills it at the earliest.
func (s *soak) play(clients int) (terminated time.Time) {
	for i := range clients {
		s.startClient(i, s.stay)
		if s.leavers && i%2 == 0 {
			s.startClient(i, s.leave)
		}
	}
	faults := 6 + s.random.IntN(8)
	for range faults {
		time.Sleep(soakLead / time.Duration(faults))
		s.disturb()
	}
	close(s.stop)
	terminated = time.Now()
	s.program.cmd.Process.Signal(syscall.SIGTERM)
	signals := []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGINT}
	for range s.random.IntN(4) {
		time.Sleep(time.Duration(s.random.IntN(200)) * time.Millisecond)
		s.program.cmd.Process.Signal(signals[s.random.IntN(len(signals))])
	}
	kill := time.AfterFunc(time.Until(terminated.Add(killAfter(s.deadline))), func() { s.program.cmd.Process.Kill() })
	defer kill.Stop()
	s.running.Wait()
	if err := <-s.program.ended; err != nil {
		s.t.Errorf("the program ended with %v", err)
	}
	return terminated
}

// startClient runs a client with a random source of its own.
func (s *soak) startClient(number int, run func(*rand.Rand)) {
	random := rand.New(rand.NewPCG(s.random.Uint64(), uint64(number)))
	s.running.Go(func() { run(random) })
}

// check accounts for every request.
func (s *soak) check(terminated time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	closing := terminated.Add(killAfter(s.deadline) - closeMargin - busySlack)
	answered, left := 0, 0
	for _, r := range s.requests {
		answered += r.answers
		if r.leaver {
			left++
			s.checkGone(r)
			continue
		}
		if r.answers == 0 && r.endedAt.Before(closing) && !s.crowded { // where it is, the count of what was read shows it
			s.t.Errorf("%s, sent %v after SIGTERM, has no answer, %v later", r.id, r.sentAt.Sub(terminated), r.endedAt.Sub(r.sentAt))
		}
		if took := r.endedAt.Sub(r.sentAt); took > r.wait+answerSlack {
			s.t.Errorf("%s was answered after %v of %v", r.id, took, r.wait)
		}
		if r.unsafe && len(r.attempts) > 1 {
			s.t.Errorf("%s ran %d times", r.id, len(r.attempts))
		}
	}
	taken := counter(s.t, s.program.output(), "accepted")
	if taken < answered || taken > answered+left {
		s.t.Errorf("it read %d requests, %d were answered and %d clients went", taken, answered, left)
	}
	if len(s.late) > 0 {
		s.t.Errorf("%d requests went to a draining worker", len(s.late))
	}
	s.t.Logf("requests=%d answered=%d left=%d taken=%d deadline=%v", len(s.requests), answered, left, taken, s.deadline)
}

// checkGone checks that no attempt of a request began after its client had gone.
func (s *soak) checkGone(r *soakRequest) {
	for _, at := range r.attempts {
		if !r.goneAt.IsZero() && at.After(r.goneAt.Add(goneSlack+busySlack)) {
			s.t.Errorf("%s: an attempt began %v after its client had gone", r.id, at.Sub(r.goneAt))
		}
	}
	if r.unsafe && len(r.attempts) > 1 {
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
		s.crowded = true
		s.leavers = false // so that each request that was read is accounted for
	}
}

// playSoak plays one seed.
func playSoak(t *testing.T, seed uint64) {
	s := &soak{t: t, random: rand.New(rand.NewPCG(seed, 34)), requests: map[string]*soakRequest{}, drained: map[string]time.Time{}, stop: make(chan struct{})}
	site, listen, document := siteFor(t, 4, s.record)
	s.site = site
	for _, worker := range site.Workers {
		worker.ServiceTime = time.Duration(1+s.random.IntN(30)) * time.Millisecond
	}
	s.leavers = s.random.IntN(2) == 0
	s.drawSettings(document)
	s.program = startProgramWith(t, document, listen)
	s.program.client().Close()
	clients := 12
	if s.crowded || s.random.IntN(3) == 0 {
		clients = 60
	}
	s.check(s.play(clients))
}

// The real program under drawn faults, settings and signals, with clients that send on open connections until it is killed
// at the earliest: each request has exactly one final answer in its time, none that must not repeat runs twice, none
// begins after its client has gone, and none goes to a worker that drains. CRANKHOLD_SOAK_SEEDS=FIRST:COUNT plays more.
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
			playSoak(t, seed)
		})
	}
}
