// Package demo runs a whole installation in one process for a newcomer to look at: a directory, three stand-in
// workers, a router, and clients that send a trickle of calls. Every fifteen seconds a worker dies and comes back
// five seconds later. It imports the service and the stand-ins; the command line calls it.
package demo

import (
	_ "embed"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"crankhold/internal/config"
	"crankhold/internal/fake"
	"crankhold/internal/server"
)

// Routes is the routes file that the demo serves by.
//
//go:embed routes.crank
var Routes []byte

// callEvery is the pace of the trickle.
const callEvery = 25 * time.Millisecond

var classes = []struct {
	name string
	wait time.Duration
}{{"dim-level", 2 * time.Second}, {"fault-check", 2500 * time.Millisecond}, {"repair-order", 3 * time.Second}}

// Run shows the demo until stop is closed or a signal comes, and writes a line a second.
func Run(out io.Writer, stop <-chan struct{}) error {
	dir, err := os.MkdirTemp("", "crankhold-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	t := &tally{by: map[string]int{}, runs: map[string]int{}}
	var workers []fake.WorkerConfig
	for i, kind := range []string{"large-worker", "large-worker", "small-worker"} {
		workers = append(workers, fake.WorkerConfig{Name: fmt.Sprintf("s-%d", i+1), Addr: "127.0.0.1:0", Kind: kind, Zone: "here", Cell: i,
			ServiceTime: time.Duration(60+30*i) * time.Millisecond, LoadTime: 600 * time.Millisecond, KeepAlive: 10 * time.Second, Lanes: 2, Queue: 32})
	}
	site, err := fake.NewSite("127.0.0.1:0", workers, t.event)
	if err != nil {
		return err
	}
	defer site.Close()
	listen, err := fake.FreeAddr()
	if err != nil {
		return err
	}
	configPath, routes := filepath.Join(dir, "config.json"), filepath.Join(dir, "routes.crank")
	if err := site.WriteConfig(configPath, listen); err != nil {
		return err
	}
	if err := os.WriteFile(routes, Routes, 0o644); err != nil {
		return err
	}
	read := func() (*config.Config, error) {
		return config.Read(func(name string) string { return map[string]string{"EDGE_CONFIG": configPath}[name] })
	}
	c, err := read()
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "router on %s; workers %s; routes in %s\n", listen, names(site.Workers), routes)
	ended := make(chan struct{})
	defer close(ended)
	go play(out, site, listen, t, ended)
	return server.Serve(c, server.Options{Routes: routes, Stop: stop}, read)
}

func names(list []*fake.Worker) string {
	var s []string
	for _, w := range list {
		s = append(s, w.Name+" ("+w.Kind+")")
	}
	return strings.Join(s, ", ")
}

// tally counts what is shown.
type tally struct {
	mu   sync.Mutex
	by   map[string]int // by class and verdict, in this second
	runs map[string]int // by worker
}

func (t *tally) event(e fake.Event) {
	if e.What == "run" || e.What == "hold" {
		t.mu.Lock()
		t.runs[e.Worker.Name+" "+string(e.What)]++
		t.mu.Unlock()
	}
}

func (t *tally) answer(class, verdict string) {
	t.mu.Lock()
	t.by[class+" "+verdict]++
	t.mu.Unlock()
}

// line words the last second and begins the next.
func (t *tally) line(at time.Duration, site *fake.Site) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := fmt.Sprintf("%4.0fs", at.Seconds())
	for _, c := range classes {
		s += "  " + c.name
		for _, v := range []string{"served", "refused", "failed"} {
			if n := t.by[c.name+" "+v]; n > 0 || v == "served" {
				s += fmt.Sprintf(" %s=%d", v, n)
			}
		}
	}
	for _, w := range site.Workers {
		s += fmt.Sprintf("  %s runs=%d loads=%d", w.Name, t.runs[w.Name+" run"], t.runs[w.Name+" hold"])
	}
	t.by, t.runs = map[string]int{}, map[string]int{}
	return s
}

// play sends calls, takes a worker down now and then, and writes a line a second.
func play(out io.Writer, site *fake.Site, listen string, t *tally, ended <-chan struct{}) {
	random := rand.New(rand.NewPCG(1, 2))
	tick := time.NewTicker(callEvery)
	defer tick.Stop()
	var client *fake.Client
	begun, lines, fault := time.Now(), 1, 0
	for n := 0; ; n++ {
		select {
		case <-ended:
			if client != nil {
				client.Close()
			}
			return
		case <-tick.C:
		}
		since := time.Since(begun)
		if client == nil {
			client, _ = fake.Dial(listen) // not yet, perhaps
			continue
		}
		c := classes[[]int{0, 0, 1, 2}[random.IntN(4)]]
		client.Go(fake.Call{Class: c.name, ID: fmt.Sprintf("%016x", random.Uint64()), Key: fmt.Sprintf("%016x", uint64(random.IntN(6))*0x1111111111111111),
			Wait: c.wait, Props: "memory_mb:512;lanes:2;load_ms:600", Body: []byte("lamp 17")}, func(a fake.Answer, err error) {
			if err == nil {
				t.answer(c.name, a.Verdict)
			}
		})
		if since >= time.Duration(lines)*time.Second {
			fmt.Fprintln(out, t.line(since, site))
			lines++
		}
		switch w := site.Workers[fault/2%len(site.Workers)]; {
		case fault%2 == 0 && since > time.Duration(fault/2+1)*15*time.Second:
			fmt.Fprintf(out, "       %s dies\n", w.Name)
			w.Kill()
			fault++
		case fault%2 == 1 && since > time.Duration(fault/2+1)*15*time.Second+5*time.Second:
			if w.Start() == nil {
				fmt.Fprintf(out, "       %s is back\n", w.Name)
			}
			fault++
		}
	}
}
