package benchmark

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"crankhold/internal/fake"
)

// Addresses measures workers with several addresses, of which each keeps one while the others fail at random.
type Addresses struct {
	Short  bool          `help:"Take under a minute."`
	Router string        `help:"The program to measure; the one beside this one unless given." type:"path"`
	Before string        `help:"A build to measure on the same faults too." type:"path"`
	Rate   int           `help:"Calls a second." default:"500"`
	Length time.Duration `help:"How long each load lasts; ten minutes, or 15 s with --short, unless given."`
	Seed   uint64        `help:"Of the load and the faults." default:"1"`
}

// run is one load and what came of it.
type run struct {
	*record
	served, p99ms, cpu float64 // share, milliseconds, microseconds of the processor for a call
	extra, lateSends   int
	faults, drains     int
	dials, moved       string
	trials             string
	by                 map[string]int
}

// Run loads without faults, with them, and the build before with them.
func (a Addresses) Run(out io.Writer) error {
	router, err := findRouter(a.Router)
	if err != nil {
		return err
	}
	if a.Length == 0 {
		a.Length = 10 * time.Minute
		if a.Short {
			a.Length = 15 * time.Second
		}
	}
	f := &figures{}
	fmt.Fprintf(out, "%-22s %8s %8s %8s %8s %8s %8s %10s %10s\n", "run", "calls", "served", "refused", "failed", "p99 ms", "faults", "cpu us", "moved")
	one := func(name, program string, faults bool) (*run, error) {
		r, err := a.load(program, faults)
		if err == nil {
			fmt.Fprintf(out, "%-22s %8d %8d %8d %8d %8.1f %8d %10.1f %10s\n", name, len(r.order), r.by["served"], r.by["refused"], r.by["failed"], r.p99ms, r.faults, r.cpu, r.moved)
		}
		return r, err
	}
	calm, err := one("no faults", router, false)
	if err != nil {
		return err
	}
	rough, err := one("faults", router, true)
	if err != nil {
		return err
	}
	if a.Before != "" {
		before, err := one("no faults, before", a.Before, false)
		if err != nil {
			return err
		}
		f.add("cpu_us_per_call", calm.cpu)
		f.add("cpu_us_per_call_before", before.cpu)
		if before, err = one("faults, before", a.Before, true); err != nil {
			return err
		}
		f.add("served_before", before.served)
	}
	lost, late, doubled, orders, breaches := rough.rules("repair-order")
	f.add("calls", len(rough.order))
	f.add("orders", orders)
	f.must("doubled", doubled, doubled == 0)
	f.must("late_sends", rough.lateSends, rough.lateSends == 0)
	f.must("answers_missing", lost, lost == 0)
	f.must("answers_late", late, late == 0)
	f.must("extra_answers", rough.extra, rough.extra == 0)
	f.must("ration_breaches", breaches, breaches == 0)
	f.must("faults", rough.faults, rough.faults > 0)
	f.must("drains", rough.drains, rough.drains > 0)
	f.add("trials", rough.trials)
	f.add("moved", rough.moved)
	f.add("served_no_faults", calm.served)
	f.must("served", rough.served, rough.served >= calm.served-0.02)
	return f.print(out)
}

func (a Addresses) load(program string, faults bool) (*run, error) {
	dir, err := os.MkdirTemp("", "crankhold-lab-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	r := &run{record: newRecord()}
	var workers []fake.WorkerConfig
	for i := range 12 {
		workers = append(workers, fake.WorkerConfig{Name: fmt.Sprintf("s-%02d", i+1), Addr: "127.0.0.1:0", Kind: "std", Zone: "here",
			MoreAddrs:   []string{"tcp6:::1", fmt.Sprintf("unix:%s/w%d.sock", dir, i+1)},
			ServiceTime: 20 * time.Millisecond, LoadTime: 300 * time.Millisecond, KeepAlive: 10 * time.Second, Lanes: 8, Queue: 64})
	}
	site, err := fake.NewSite("127.0.0.1:0", workers, r.event)
	if err != nil {
		return nil, err
	}
	defer site.Close()
	// Every third worker is listed twice, the second time with a Unix socket and the same address of IPv4.
	entries := func(drains int) (list []fake.Entry) {
		for i, e := range site.Entries() {
			list = append(list, e)
			if i%3 == 0 {
				e.Name += "-local"
				e.Draining = i == drains
				list = append(list, e)
			}
		}
		return list
	}
	site.Directory.Set(entries(-1))
	listen, err := fake.FreeAddr()
	if err != nil {
		return nil, err
	}
	config, addresses := filepath.Join(dir, "config.json"), filepath.Join(dir, "addresses.toml")
	if err := site.WriteConfig(config, listen); err != nil {
		return nil, err
	}
	if err := os.WriteFile(addresses, []byte("unix_in_txt = true\n"), 0o644); err != nil {
		return nil, err
	}
	router, err := startRouter(program, listen, "EDGE_CONFIG="+config, "CRANKHOLD_ADDRESSES="+addresses)
	if err != nil {
		return nil, err
	}
	defer router.stop()
	var clients []*fake.Client
	for range 8 {
		k, err := fake.Dial(listen)
		if err != nil {
			return nil, err
		}
		defer k.Close()
		clients = append(clients, k)
	}
	begun := time.Now()
	var wait sync.WaitGroup
	if faults {
		wait.Add(2)
		go func() {
			defer wait.Done()
			r.faults = disturb(site, a.Seed, begun.Add(a.Length))
		}()
		go func() {
			defer wait.Done()
			r.drains, r.lateSends = drain(site, r, entries, begun.Add(a.Length))
		}()
	}
	random := rand.New(rand.NewPCG(a.Seed, 7))
	every := time.Second / time.Duration(a.Rate)
	for n := 0; time.Since(begun) < a.Length; n++ {
		time.Sleep(time.Until(begun.Add(time.Duration(n) * every)))
		class := []string{"dim-level", "dim-level", "fault-check", "repair-order"}[random.IntN(4)]
		r.call(clients[random.IntN(len(clients))], fake.Call{Class: class, ID: fmt.Sprintf("%016x", random.Uint64()),
			Key: fmt.Sprintf("%016x", uint64(1+random.IntN(12))*0x1111111111111111), Wait: labWaits[class], Props: "memory_mb:256;lanes:8;load_ms:300", Body: []byte("x")})
	}
	wait.Wait()
	for _, k := range clients {
		for limit := time.Now().Add(4 * time.Second); k.Open() > 0 && time.Now().Before(limit); {
			time.Sleep(10 * time.Millisecond)
		}
		r.extra += k.Extra()
	}
	router.stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	var n int
	r.by, n = r.totals("", begun, time.Now())
	r.served = float64(r.by["served"]) / float64(n)
	r.p99ms = float64(r.percentile("", 0.99).Microseconds()) / 1000
	if s := router.cmd.ProcessState; s != nil {
		r.cpu = float64((s.UserTime() + s.SystemTime()).Microseconds()) / float64(n)
	}
	r.dials, r.trials, r.moved = router.figure("dials=", "dials"), router.figure("dials=", "trials"), router.figure("dials=", "moved")
	return r, nil
}

// disturb has addresses fail at random until a time; each worker keeps one. It returns how many faults it made.
func disturb(site *fake.Site, seed uint64, until time.Time) (faults int) {
	random := rand.New(rand.NewPCG(seed, 11))
	type fault struct {
		p   *fake.Port
		end time.Time
	}
	var on []fault
	flap := site.Workers[0].Ports()[0]
	for n := 0; time.Now().Before(until); n++ {
		time.Sleep(100 * time.Millisecond)
		now := time.Now()
		var keep []fault
		for _, f := range on {
			if now.Before(f.end) {
				keep = append(keep, f)
			} else {
				f.p.Set("well")
			}
		}
		on = keep
		if n/100%2 == 1 { // one address flaps at every turn, for ten seconds of twenty
			flap.Set([]fake.PortMode{fake.ModeWell, fake.ModeRefuse, fake.ModeWell, fake.ModeReset}[n%4])
			faults++
		}
		w := site.Workers[1+random.IntN(len(site.Workers)-1)]
		ports := w.Ports()
		p := ports[random.IntN(len(ports))]
		mode := fake.Modes[1+random.IntN(len(fake.Modes)-1)]
		last := time.Duration(300+random.IntN(3000)) * time.Millisecond
		well := 0
		for _, q := range ports {
			if q.Mode() == "well" {
				well++
			}
		}
		if mode == "stale" && p.Network != "unix" || p.Mode() != "well" || well < 2 {
			continue
		}
		p.Set(mode)
		faults++
		on = append(on, fault{p, now.Add(last)})
	}
	for _, f := range on {
		f.p.Set("well")
	}
	flap.Set("well")
	return faults
}

// drain has one entry of a worker that is listed twice drain, now and then, and counts what was sent to any address
// of that worker more than a second after that was told.
func drain(site *fake.Site, r *run, entries func(int) []fake.Entry, until time.Time) (drains, late int) {
	for n := 0; time.Now().Add(5 * time.Second).Before(until); n++ {
		time.Sleep(1500 * time.Millisecond)
		w := n * 3 % len(site.Workers)
		serial := site.Directory.Set(entries(w))
		drains++
		time.Sleep(3 * time.Second)
		told, end := site.Directory.Told(serial), time.Now()
		site.Directory.Set(entries(-1))
		if told.IsZero() {
			continue
		}
		r.mu.Lock()
		for _, e := range r.events {
			if e.Worker == site.Workers[w] && (e.What == "run" || e.What == "hold" || e.What == "miss") && e.At.After(told.Add(time.Second)) && e.At.Before(end) {
				late++
			}
		}
		r.mu.Unlock()
	}
	return drains, late
}
