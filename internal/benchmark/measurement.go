package benchmark

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"crankhold/internal/fake"
)

// Conditions under which a router counts as keeping up with a rate.
const (
	minServedShare = 0.99
	maxLatencyP99  = 400.0 // milliseconds
)

// A request is sent late if it leaves more than lateAfter after it was due. If the tool sends more than one request in
// minSentPerLate late, the measurement says nothing about the router.
const (
	lateAfter      = 10 * time.Millisecond
	minSentPerLate = 20
)

// measurement holds the results of a load at one rate.
type measurement struct {
	rate     int
	sent     int64
	sentLate int64   // requests that were sent late
	cores    float64 // CPU cores that the router used, on average

	mu        sync.Mutex // guards the fields below, which responses change
	served    int64
	rejected  int64
	failed    int64
	lost      int64
	inFlight  int64
	latencies *hdrhistogram.Histogram // of served requests, in microseconds
}

func newMeasurement(rate int) *measurement {
	return &measurement{rate: rate, latencies: hdrhistogram.New(1, 60_000_000, 3)}
}

func (m *measurement) servedShare() float64 { return float64(m.served) / float64(max(m.sent, 1)) }

// latencyPercentile returns the latency at a percentile, from 0 to 100, in milliseconds.
func (m *measurement) latencyPercentile(p float64) float64 {
	return float64(m.latencies.ValueAtPercentile(p)) / 1000
}

// keepsUp reports whether the router kept up with the rate.
func (m *measurement) keepsUp() bool {
	onSchedule := m.sentLate*minSentPerLate < m.sent
	return m.servedShare() >= minServedShare && m.latencyPercentile(99) <= maxLatencyP99 && onSchedule
}

// countSent counts a request that is about to be sent. It returns an error if too many requests are in flight.
func (m *measurement) countSent() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inFlight >= maxInFlight {
		return fmt.Errorf("%d requests are in flight: the router does not respond", maxInFlight)
	}
	m.inFlight++
	m.sent++
	return nil
}

// countCompleted counts a request that has completed.
func (m *measurement) countCompleted(status fake.ResponseStatus, latency time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight--
	switch status {
	case fake.Served:
		m.served++
		m.latencies.RecordValue(max(latency.Microseconds(), 1))
	case fake.Rejected:
		m.rejected++
	case fake.Failed:
		m.failed++
	default:
		m.lost++
	}
}

func (m *measurement) requestsInFlight() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inFlight
}

// measure sends a load at one rate, prints a row of its results, and writes its latencies to the log if there is one.
// It blocks until all requests have completed or timed out.
func (l *loadRun) measure(rate int) (*measurement, error) {
	m := newMeasurement(rate)
	cpuBefore := l.target.cpuTime()
	startedAt := time.Now()
	m.latencies.SetStartTimeMs(startedAt.UnixMilli())
	if err := l.sendAll(m, startedAt); err != nil {
		return nil, err
	}
	m.cores = (l.target.cpuTime() - cpuBefore).Seconds() / time.Since(startedAt).Seconds()
	deadline := time.Now().Add(l.Traffic.Timeout + time.Second)
	for m.requestsInFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lost += m.inFlight
	m.latencies.SetEndTimeMs(time.Now().UnixMilli())
	fmt.Fprintf(l.out, "%8d %8d %8d %8d %8d %6d %9.1f %9.1f %9.1f %7.2f\n",
		rate, m.sent, m.served, m.rejected, m.failed, m.lost,
		m.latencyPercentile(50), m.latencyPercentile(99), m.latencyPercentile(99.9), m.cores)
	if l.log == nil {
		return m, nil
	}
	m.latencies.SetTag(strconv.Itoa(rate))
	return m, l.log.OutputIntervalHistogram(m.latencies)
}

// sendAll sends each request when it is due, and measures its latency from then. It blocks until the last request has
// been sent.
func (l *loadRun) sendAll(m *measurement, startedAt time.Time) error {
	random := rand.New(rand.NewPCG(l.Seed, uint64(m.rate)))
	interval := float64(time.Second) / float64(m.rate)
	for n := 0; ; n++ {
		due := startedAt.Add(time.Duration(float64(n) * interval))
		if due.Sub(startedAt) >= l.Pace.Length {
			return nil
		}
		time.Sleep(time.Until(due))
		if time.Since(due) > lateAfter {
			m.sentLate++
		}
		if err := m.countSent(); err != nil {
			return err
		}
		key := functionKey(random.IntN(l.Traffic.Functions))
		id := fmt.Sprintf("%016x", random.Uint64())
		l.target.send(key, id, func(status fake.ResponseStatus) { m.countCompleted(status, time.Since(due)) })
	}
}
