package demo

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"crankhold/internal/fake"
)

// How often the demo sends requests, writes lines and kills workers.
const (
	requestInterval = 25 * time.Millisecond
	lineInterval    = time.Second
	killInterval    = 15 * time.Second
	downtime        = 5 * time.Second // of a killed worker
)

// requestedFunctions is the number of different functions that are requested.
const requestedFunctions = 6

// driver sends requests, kills and restarts workers, and writes a line per second. After start, only the goroutine that
// start creates uses the fields.
type driver struct {
	out    io.Writer
	site   *fake.Site
	listen string
	counts *counts

	startedAt time.Time
	random    *rand.Rand
	client    *fake.Client // nil until the router accepts connections
	lines     int          // written so far
	kills     int          // so far
	killed    *fake.Worker // nil while all workers are up
}

func newDriver(out io.Writer, site *fake.Site, listen string, counts *counts) *driver {
	return &driver{
		out:       out,
		site:      site,
		listen:    listen,
		counts:    counts,
		startedAt: time.Now(),
		random:    rand.New(rand.NewPCG(1, 2)),
	}
}

// start runs the driver on a new goroutine. The returned function stops the goroutine and blocks until it has stopped.
func (d *driver) start() (stop func()) {
	stopping := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		d.run(stopping)
	}()
	return func() {
		close(stopping)
		<-stopped
	}
}

func (d *driver) run(stopping <-chan struct{}) {
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	defer func() {
		if d.client != nil {
			d.client.Close()
		}
	}()
	for {
		select {
		case <-stopping:
			return
		case <-ticker.C:
			d.tick(time.Since(d.startedAt))
		}
	}
}

// tick does what is due when the given time has passed since the start. It dials the router if there is no connection
// yet. Otherwise it sends a request, and writes a line and kills or restarts a worker when that is due.
func (d *driver) tick(elapsed time.Duration) {
	if d.client == nil {
		client, err := fake.Dial(d.listen)
		if err != nil {
			return // the router does not listen yet
		}
		d.client = client
		return
	}
	d.sendRequest()
	if elapsed >= time.Duration(d.lines+1)*lineInterval {
		d.lines++
		fmt.Fprintln(d.out, d.counts.takeLine(elapsed, d.site.Workers))
	}
	d.killOrRestartWorker(elapsed)
}

// sendRequest sends a request of a random class for a random function.
func (d *driver) sendRequest() {
	class := fake.ClassMix[d.random.IntN(len(fake.ClassMix))]
	request := fake.Request{
		Class:       class.Name,
		ID:          fmt.Sprintf("%016x", d.random.Uint64()),
		FunctionKey: fake.FunctionKey(d.random.IntN(requestedFunctions)),
		Timeout:     class.Timeout,
		Properties:  "memory_mb:512;lanes:2;load_ms:600",
		Body:        []byte("lamp 17"),
	}
	d.client.Go(request, func(response fake.Response, err error) {
		if err == nil {
			d.counts.response(class.Name, response.Status)
		}
	})
}

// killOrRestartWorker kills the next worker, or restarts the killed one, if that is due.
func (d *driver) killOrRestartWorker(elapsed time.Duration) {
	if d.killed == nil && elapsed > time.Duration(d.kills+1)*killInterval {
		d.killed = d.site.Workers[d.kills%len(d.site.Workers)]
		d.kills++
		fmt.Fprintf(d.out, "       %s is killed\n", d.killed.Name)
		d.killed.Kill()
		return
	}
	if d.killed != nil && elapsed > time.Duration(d.kills)*killInterval+downtime {
		if d.killed.Start() == nil {
			fmt.Fprintf(d.out, "       %s is restarted\n", d.killed.Name)
		}
		d.killed = nil
	}
}
