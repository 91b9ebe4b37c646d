package benchmark

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds on what the load tool sends, whatever it is asked for.
const (
	maxRate     = 100_000 // requests per second
	maxLength   = time.Hour
	maxConns    = 256
	maxInFlight = 50_000
)

// Load is an open-loop load: calls leave when they are due, whether the earlier ones were answered or not, and times
// count from when each was due, so that a router that stalls can't hide it (coordinated omission).
type Load struct {
	Addr   string        `help:"The router's address for Thrift, on loopback. Without one, a router and twelve stand-in workers are started."`
	Hook   string        `help:"Send signed webhooks to this URL in place of Thrift; its host must be a loopback address."`
	Key    string        `help:"The webhooks' key file." type:"path"`
	Router string        `help:"The program to start; the one beside this one unless given." type:"path"`
	Rate   int           `help:"Calls a second; where a ramp begins." default:"500"`
	To     int           `help:"Ramp up to this rate." default:"0"`
	Steps  int           `help:"Steps of the ramp." default:"5"`
	Length time.Duration `help:"How long each step lasts." default:"5s"`
	Class  string        `help:"Of all calls." default:"dim-level"`
	Wait   time.Duration `help:"How long a client waits." default:"2s"`
	Keys   int           `help:"Functions that are called." default:"12"`
	Conns  int           `help:"Connections." default:"8"`
	Log    string        `help:"Write an HdrHistogram log here." type:"path"`
	Knee   bool          `help:"Find the rate at which the router no longer keeps up, then measure at 50 and 80% of it."`
	Short  bool          `help:"Take under a minute."`
	Seed   uint64        `help:"Of the calls." default:"1"`
}

// validate checks the bounds.
func (l Load) validate() error {
	inBounds := l.Rate >= 1 && max(l.Rate, l.To) <= maxRate &&
		l.Length > 0 && l.Length*time.Duration(max(l.Steps, 1)) <= maxLength &&
		l.Conns >= 1 && l.Conns <= maxConns && l.Keys >= 1
	if !inBounds {
		return fmt.Errorf("out of bounds: 1 to %d calls/s, up to %v in all, 1 to %d connections", maxRate, maxLength, maxConns)
	}
	return nil
}

// Run loads the router.
func (l Load) Run(out io.Writer) error {
	if err := l.validate(); err != nil {
		return err
	}
	if l.Short {
		l.Length = 2 * time.Second
	}
	target, err := l.connect()
	if err != nil {
		return err
	}
	defer target.close()
	run := &loadRun{Load: l, target: target, out: out}
	if l.Log != "" {
		file, err := os.Create(l.Log)
		if err != nil {
			return err
		}
		defer file.Close()
		run.log = hdrhistogram.NewHistogramLogWriter(file)
		if err := errors.Join(run.log.OutputLogFormatVersion(), run.log.OutputLegend()); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "%8s %8s %8s %8s %8s %6s %9s %9s %9s %7s\n", "calls/s", "sent", "served", "refused", "failed", "lost", "p50 ms", "p99 ms", "p99.9 ms", "cores")
	if l.Knee {
		return run.knee()
	}
	return run.ramp()
}

// loadRun is a load that is under way.
type loadRun struct {
	Load
	target *loadTarget
	out    io.Writer                        // for the rows
	log    *hdrhistogram.HistogramLogWriter // nil for none
}

// ramp measures at each rate of the ramp, or at one rate if there is none.
func (l *loadRun) ramp() error {
	f := &figures{}
	for _, rate := range l.rates() {
		m, err := l.measure(rate)
		if err != nil {
			return err
		}
		f.add(fmt.Sprintf("served_%d", rate), m.servedShare())
		f.add(fmt.Sprintf("p999_ms_%d", rate), m.latencyPercentile(99.9))
		f.must(fmt.Sprintf("lost_%d", rate), m.lost, m.lost == 0)
	}
	return f.print(l.out)
}

// rates returns the rates of the ramp.
func (l Load) rates() []int {
	if l.To <= 0 || l.Steps <= 1 {
		return []int{l.Rate}
	}
	rates := make([]int, l.Steps)
	for i := range rates {
		rates[i] = l.Rate + (l.To-l.Rate)*i/(l.Steps-1)
	}
	return rates
}
