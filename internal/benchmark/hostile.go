package benchmark

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"crankhold/internal/fake"
)

// Hostile measures what usual clients get beside clients that send without a pause, and how much memory the router
// takes meanwhile. The router runs on one processor.
type Hostile struct {
	Short    bool          `help:"Play each flood for 5 s."`
	Router   string        `help:"The program to measure; the one beside this one unless given." type:"path"`
	Length   time.Duration `help:"How long each flood lasts." default:"2m30s"`
	Floods   int           `help:"How many connections flood the router at once." default:"8"`
	MemoryMB int           `help:"The router's memory limit." name:"memory" default:"32"`
}

const (
	// shortHostileLength is how long each flood lasts with --short.
	shortHostileLength = 5 * time.Second
	// usualInterval is the time between two requests of the usual client.
	usualInterval = 50 * time.Millisecond
	// usualTimeout is how long the usual client waits for each response.
	usualTimeout = 200 * time.Millisecond
	// warmUpRequests are sent before the first flood.
	warmUpRequests = 20
	// maxHostileLoss is how much smaller the share of served requests may be beside a flood.
	maxHostileLoss = 0.01
	// memoryInterval is the time between two looks at the router's memory.
	memoryInterval = 50 * time.Millisecond
)

// hostileResult is what one flood has led to.
type hostileResult struct {
	requests, served int
	slowest          time.Duration
	flooded          int64 // messages of the flood
	peakKB           int   // largest resident memory of the router, without the pages of files
}

// share returns the share of the usual client's requests that were served in time.
func (r hostileResult) share() float64 { return float64(r.served) / float64(max(r.requests, 1)) }

// Run plays no flood and then each kind, and prints a row for each. It requires that usual clients are served as well
// beside a flood as without one, and that the router stays within its memory limit.
func (h Hostile) Run(out io.Writer) error {
	program, err := findRouter(h.Router)
	if err != nil {
		return err
	}
	if h.Short {
		h.Length = shortHostileLength
	}
	fmt.Fprintf(out, "%-16s %10s %9s %11s %12s %8s\n",
		"flood", "requests", "served", "slowest ms", "messages/s", "peak KB")
	f := &figures{}
	alone := 0.0
	for _, kind := range []fake.FloodKind{"", fake.FloodChecks, fake.FloodUnknownMethods, fake.FloodNewFunctions} {
		result, err := h.play(program, kind)
		if err != nil {
			return err
		}
		name := string(kind)
		if kind == "" {
			name = "none"
			alone = result.share()
		}
		fmt.Fprintf(out, "%-16s %10d %9.4f %11d %12.0f %8d\n", name, result.requests, result.share(),
			result.slowest.Milliseconds(), float64(result.flooded)/h.Length.Seconds(), result.peakKB)
		f.require("served_"+name, result.share(), result.share() >= alone-maxHostileLoss)
		f.require("peak_kb_"+name, result.peakKB, result.peakKB <= h.MemoryMB<<10)
	}
	return f.print(out)
}

// play starts a router, and plays a usual client beside floods of one kind.
func (h Hostile) play(program string, kind fake.FloodKind) (result hostileResult, err error) {
	function := fmt.Sprintf("%016x", rand.Uint64())
	worker := fake.WorkerConfig{Kind: "std", Warm: true, Known: []string{function}}
	bed, err := startTestbed(workerConfigs(2, "s-%d", worker), nil)
	if err != nil {
		return result, err
	}
	defer bed.Close()
	router, err := h.startRouter(bed, program)
	if err != nil {
		return result, err
	}
	defer router.kill()
	client, err := fake.Dial(router.listen)
	if err != nil {
		return result, err
	}
	defer client.Close()
	for range warmUpRequests {
		if _, err := client.Do(usualRequest(function, time.Second)); err != nil {
			return result, err
		}
	}
	var floods []*fake.Flood
	for range h.Floods {
		if kind != "" {
			floods = append(floods, fake.StartFlood(router.listen, kind))
		}
	}
	result = h.playUsualClient(client, router, function)
	for _, flood := range floods {
		result.flooded += flood.Stop()
	}
	return result, nil
}

// startRouter starts the program on one processor, with the experiment's memory limit.
func (h Hostile) startRouter(bed *fake.Testbed, program string) (router *process, err error) {
	bed.Site.MemoryMB = h.MemoryMB
	err = onOneProcessor(func() (err error) {
		router, err = startRouterOn(bed, program)
		return err
	})
	return router, err
}

// playUsualClient sends requests at usualInterval and watches the router's memory, until the length is over.
func (h Hostile) playUsualClient(client *fake.Client, router *process, function string) (result hostileResult) {
	responses := make(chan time.Duration, int(h.Length/usualInterval)+1)
	requests := time.NewTicker(usualInterval)
	defer requests.Stop()
	memory := time.NewTicker(memoryInterval)
	defer memory.Stop()
	for end := time.After(h.Length); ; {
		select {
		case <-requests.C:
			result.requests++
			sendUsualRequest(client, function, responses)
		case <-memory.C:
			result.peakKB = max(result.peakKB, router.residentKB())
		case <-end:
			awaitResponses([]*fake.Client{client})
			result.count(responses)
			return result
		}
	}
}

// sendUsualRequest sends a request of the usual client, and then how long its response took, or 0 if it was not served
// in time.
func sendUsualRequest(client *fake.Client, function string, responses chan<- time.Duration) {
	sentAt := time.Now()
	client.Go(usualRequest(function, usualTimeout), func(response fake.Response, err error) {
		took := time.Since(sentAt)
		if err != nil || response.Status != fake.Served || took > usualTimeout {
			took = 0
		}
		responses <- took
	})
}

// count counts the responses that have arrived and were served in time.
func (r *hostileResult) count(responses <-chan time.Duration) {
	for range len(responses) {
		took := <-responses
		if took > 0 {
			r.served++
		}
		r.slowest = max(r.slowest, took)
	}
}

// usualRequest returns a request of the usual client.
func usualRequest(function string, timeout time.Duration) fake.Request {
	return fake.Request{
		Class:       "dim-level",
		ID:          fmt.Sprintf("%016x", rand.Uint64()),
		FunctionKey: function,
		Timeout:     timeout,
		Properties:  "memory_mb:512;lanes:2;load_ms:640",
	}
}
