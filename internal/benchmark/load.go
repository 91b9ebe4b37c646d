package benchmark

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds on what the load tool sends, whatever the flags ask for.
const (
	maxRate        = 100_000 // requests per second
	maxLength      = time.Hour
	maxConnections = 256
	maxInFlight    = 50_000 // requests
)

// Load sends an open-loop load. Each request is sent when it is due, whether earlier requests have a response or not.
// Its latency counts from the time when it was due, so that a stall of the router can't be hidden (coordinated
// omission).
type Load struct {
	Target  TargetFlags  `embed:""`
	Pace    PaceFlags    `embed:""`
	Traffic TrafficFlags `embed:""`
	Log     string       `help:"Write an HdrHistogram log here." type:"path"`
	Knee    bool         `help:"Find the highest rate that the router keeps up with, then measure at 50 and 80% of it."`
	Short   bool         `help:"Take under a minute."`
	Seed    uint64       `help:"Of the requests." default:"1"`
}

// TargetFlags name the router to load: one that is running already, or the program to start.
type TargetFlags struct {
	Addr    string `help:"The router's loopback address for Thrift. Without it, a router and fake workers are started."`
	HookURL string `name:"hook" help:"Send signed webhooks to this URL, on loopback, in place of Thrift."`
	KeyFile string `name:"key" help:"The webhooks' key file." type:"path"`
	Router  string `help:"The program to start; the one beside this one unless given." type:"path"`
}

// PaceFlags set the rate and the duration of the load.
type PaceFlags struct {
	Rate      int           `help:"Requests per second; where a ramp begins." default:"500"`
	FinalRate int           `name:"to" help:"Ramp up to this rate." default:"0"`
	Steps     int           `help:"Steps of the ramp." default:"5"`
	Length    time.Duration `help:"How long each step lasts." default:"5s"`
}

// TrafficFlags describe the requests that are sent, and the number of connections.
type TrafficFlags struct {
	Class       string        `help:"Of all requests." default:"dim-level"`
	Timeout     time.Duration `name:"wait" help:"How long a client waits." default:"2s"`
	Functions   int           `name:"keys" help:"Functions that are requested." default:"12"`
	Connections int           `name:"conns" help:"Connections." default:"8"`
}

// errOutOfBounds is returned for a load that exceeds what the tool is allowed to send.
var errOutOfBounds = fmt.Errorf("load out of bounds: need 1 to %d requests/s, at most %v in total, 1 to %d connections",
	maxRate, maxLength, maxConnections)

// validate returns errOutOfBounds unless the load is within all bounds.
func (l Load) validate() error {
	totalLength := l.Pace.Length * time.Duration(max(l.Pace.Steps, 1))
	inBounds := l.Pace.Rate >= 1 && max(l.Pace.Rate, l.Pace.FinalRate) <= maxRate &&
		l.Pace.Length > 0 && totalLength <= maxLength &&
		l.Traffic.Connections >= 1 && l.Traffic.Connections <= maxConnections && l.Traffic.Functions >= 1
	if !inBounds {
		return errOutOfBounds
	}
	return nil
}

// Run sends the load to the router and prints a row for each rate. It blocks until the load has ended.
func (l Load) Run(out io.Writer) error {
	if err := l.validate(); err != nil {
		return err
	}
	if l.Short {
		l.Pace.Length = 2 * time.Second
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
	fmt.Fprintf(out, "%8s %8s %8s %8s %8s %6s %9s %9s %9s %7s\n",
		"req/s", "sent", "served", "rejected", "failed", "lost", "p50 ms", "p99 ms", "p99.9 ms", "cores")
	if l.Knee {
		return run.knee()
	}
	return run.ramp()
}

// loadRun is a load in progress.
type loadRun struct {
	Load
	target *loadTarget
	out    io.Writer                        // receives the rows
	log    *hdrhistogram.HistogramLogWriter // nil if no log is written
}

// ramp measures at each rate of the ramp, or at a single rate if there is no ramp.
func (l *loadRun) ramp() error {
	f := &figures{}
	for _, rate := range l.Pace.rates() {
		m, err := l.measure(rate)
		if err != nil {
			return err
		}
		f.add(fmt.Sprintf("served_%d", rate), m.servedShare())
		f.add(fmt.Sprintf("p999_ms_%d", rate), m.latencyPercentile(99.9))
		f.require(fmt.Sprintf("lost_%d", rate), m.lost, m.lost == 0)
	}
	return f.print(l.out)
}

// rates returns the rates of the ramp.
func (p PaceFlags) rates() []int {
	if p.FinalRate <= 0 || p.Steps <= 1 {
		return []int{p.Rate}
	}
	rates := make([]int, p.Steps)
	for i := range rates {
		rates[i] = p.Rate + (p.FinalRate-p.Rate)*i/(p.Steps-1)
	}
	return rates
}
