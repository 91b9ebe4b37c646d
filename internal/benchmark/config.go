package benchmark

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"crankhold/internal/fake"
	"crankhold/internal/lang"
	"crankhold/internal/route"
)

// Config measures the configuration language and the routing that it describes.
type Config struct {
	Short  bool          `help:"Take under a minute."`
	Router string        `help:"The program to measure; the one beside this one unless given." type:"path"`
	Rate   int           `help:"Calls a second." default:"500"`
	Length time.Duration `help:"How long the load lasts; a minute, or 20 s with --short, unless given."`
	Seed   uint64        `help:"Of the load." default:"1"`
}

// The two files that take each other's place every second. Both send dim-level to the large workers, with
// different caps, and repair-order to the large and small ones; fault-check changes sides. Names and order differ.
const (
	routesA = `pool "fast" {
	workers { kind = "large" }
	cap = 24
	load-orders = 40%
	fallback = "spare"
	spill = 20%
}
pool "checks" { workers { kind = "small" } }
pool "orders" { workers { kind = "large", "small" } }
pool "spare" { workers { kind = "spare" } }
policy "tight" {
	attempts = 2
	again-if-ran = 0
}
route "dim" {
	class = "dim-level"
	pool = "fast"
	policy = "tight"
}
route "check" {
	class = "fault-check"
	pool = "checks"
}
route "order" {
	class = "repair-order"
	pool = "orders"
}
`
	routesB = `route "orders" {
	class = "repair-order"
	pool = "both"
}
route "checks" {
	class = "fault-check"
	pool = "spare"
}
route "dims" {
	class = "dim-level"
	pool = "fast"
	policy = "tight"
}
policy "tight" { attempts = 2 }
pool "both" { workers { kind = "large", "small" } }
pool "fast" {
	workers { kind = "large" }
	cap = 16
	load-orders = 40%
	fallback = "spare"
	spill = 20%
}
pool "spare" { workers { kind = "spare" } }
`
	spillShare = 0.20
)

var labWaits = map[string]time.Duration{"dim-level": 2 * time.Second, "fault-check": 2500 * time.Millisecond, "repair-order": 3 * time.Second}

// pools watches where calls run and how many of the capped pool's are out.
type pools struct {
	caps      []int // of the file in force, and of the one before while that may still count
	fits      [2]func(class, kind string) bool
	file      int       // in force
	since     time.Time // a reload to it was confirmed; zero while one is under way
	out, peak int
	outside   int
	over      int
	spilledAt map[string]time.Time
}

// settle is how long after the log says that a reload is done a message sent before it may still arrive.
const settle = 50 * time.Millisecond

func (p *pools) watch(e fake.Event, r *record) {
	s := r.calls[e.ID]
	if s == nil {
		return
	}
	kind := e.Worker.Kind
	if s.class == "dim-level" && kind == "large" {
		switch e.What {
		case "run":
			p.out++
			p.peak = max(p.peak, p.out)
			limit := p.caps[p.file]
			if p.since.IsZero() || s.at.Sub(p.since) < settle {
				limit = max(p.caps[0], p.caps[1]) // it may go under the file before, to its end
			}
			if p.out > limit {
				p.over++
			}
		case "done", "stop", "broken":
			p.out--
		}
	}
	if _, known := p.spilledAt[e.ID]; !known && s.class == "dim-level" && kind == "spare" {
		p.spilledAt[e.ID] = e.At // its first sign there, run or not
	}
	if e.What != "run" {
		return
	}
	sure := !p.since.IsZero() && s.at.Sub(p.since) > settle
	if ok := p.fits[p.file](s.class, kind); !ok && (sure || !p.fits[1-p.file](s.class, kind)) {
		p.outside++
	}
}

// Run measures look-ups and checks, and then a load with a reload each second and the death of a pool.
func (c Config) Run(out io.Writer) error {
	f := &figures{}
	for _, n := range []int{10, 1000} {
		ns, allocs := matchCost(n)
		f.must(fmt.Sprintf("match_ns_%d", n), ns, ns < 1000)
		f.must(fmt.Sprintf("match_allocs_%d", n), allocs, allocs == 0)
	}
	lines, ms, err := checkCost(10000)
	if err != nil {
		return err
	}
	f.add("check_lines", lines)
	f.must("check_ms", ms, ms < 200)
	if err := c.load(out, f); err != nil {
		return err
	}
	return f.print(out)
}

// manyRoutes words a file of about so many lines, and as many routes as fit.
func manyRoutes(lines int) string {
	var b strings.Builder
	b.WriteString("pool \"p\" {}\npolicy \"k\" {\n\tattempts = 2\n}\nroute \"rest\" {\n\tpool = \"p\"\n}\n")
	for i := range (lines - 7) / 6 {
		fmt.Fprintf(&b, "route \"r%d\" {\n\tfunction = \"%04x*\", \"%016x\"\n\ttenant = \"t%d\"\n\tpool = \"p\"\n\tpolicy = \"k\"\n}\n", i, i, uint64(i+1)*0x9e3779b97f4a7c15, i%40)
	}
	return b.String()
}

func checked(text string) (*lang.Result, error) {
	r, err := lang.Check(fstest.MapFS{"main.crank": {Data: []byte(text), Mode: 0o644}}, "main.crank", "", nil)
	if err == nil {
		err = r.Err()
	}
	return r, err
}

// matchCost times a look-up.
func matchCost(routes int) (ns float64, allocs int64) {
	r, err := checked(manyRoutes(6*routes + 1))
	if err != nil {
		return -1, -1
	}
	t, err := route.Compile(&r.Spec, r.Classes())
	if err != nil {
		return -1, -1
	}
	b := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for i := range uint64(b.N) {
			t.Match(route.Request{Front: route.Webhook, Function: i * 0x9e3779b97f4a7c15, Tenant: "t7"})
		}
	})
	return float64(b.T.Nanoseconds()) / float64(b.N), b.AllocsPerOp()
}

// checkCost times the check of a long file, the best of three.
func checkCost(lines int) (n int, ms float64, err error) {
	text := manyRoutes(lines)
	for i := range 3 {
		begun := time.Now()
		if _, err := checked(text); err != nil {
			return 0, 0, err
		}
		if took := float64(time.Since(begun).Microseconds()) / 1000; i == 0 || took < ms {
			ms = took
		}
	}
	return strings.Count(text, "\n"), ms, nil
}

// load runs the load.
func (c Config) load(out io.Writer, f *figures) error {
	path, err := findRouter(c.Router)
	if err != nil {
		return err
	}
	length := c.Length
	if length == 0 {
		length = time.Minute
		if c.Short {
			length = 20 * time.Second
		}
	}
	dir, err := os.MkdirTemp("", "crankhold-lab-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	r := newRecord()
	p := &pools{caps: []int{24, 16}, spilledAt: map[string]time.Time{}}
	fits := func(check string) func(class, kind string) bool {
		return func(class, kind string) bool {
			switch class {
			case "dim-level":
				return kind == "large" || kind == "spare"
			case "fault-check":
				return kind == check
			}
			return kind == "large" || kind == "small"
		}
	}
	p.fits = [2]func(class, kind string) bool{fits("small"), fits("spare")}
	r.watch = p.watch
	var workers []fake.WorkerConfig
	for i := range 12 {
		kind := []string{"large", "large", "small", "small", "spare"}[i%5]
		workers = append(workers, fake.WorkerConfig{Name: fmt.Sprintf("s-%d", i+1), Addr: "127.0.0.1:0", Kind: kind, Zone: "here",
			ServiceTime: 20 * time.Millisecond, LoadTime: 300 * time.Millisecond, KeepAlive: 10 * time.Second, Lanes: 8, Queue: 64})
	}
	site, err := fake.NewSite("127.0.0.1:0", workers, r.event)
	if err != nil {
		return err
	}
	defer site.Close()
	listen, err := fake.FreeAddr()
	if err != nil {
		return err
	}
	config, routes := filepath.Join(dir, "config.json"), filepath.Join(dir, "routes.crank")
	write := func(text string) error { // as an editor would: never half
		if err := os.WriteFile(routes+".new", []byte(text), 0o644); err != nil {
			return err
		}
		return os.Rename(routes+".new", routes)
	}
	if err := write(routesA); err != nil {
		return err
	}
	if err := site.WriteConfig(config, listen); err != nil {
		return err
	}
	router, err := startRouter(path, listen, "EDGE_CONFIG="+config, "CRANKHOLD_ROUTES="+routes)
	if err != nil {
		return err
	}
	defer router.stop()
	p.since = time.Now()

	var clients []*fake.Client
	for range 8 {
		k, err := fake.Dial(listen)
		if err != nil {
			return err
		}
		defer k.Close()
		clients = append(clients, k)
	}
	begun := time.Now()
	dies, back := begun.Add(length*4/10), begun.Add(length*6/10)
	ended := make(chan struct{})
	reloads, reloadErr := 0, error(nil)
	go func() { // reloads, and the death of a pool
		defer close(ended)
		dead := false
		for n := 1; ; n++ {
			next := begun.Add(time.Duration(n) * time.Second)
			if next.After(begun.Add(length)) {
				return
			}
			time.Sleep(time.Until(next))
			if now := time.Now(); dead != (now.After(dies) && now.Before(back)) {
				dead = !dead
				for _, w := range site.Workers {
					if w.Kind == "large" && dead {
						w.Kill()
					} else if w.Kind == "large" {
						if err := w.Start(); err != nil {
							reloadErr = err
							return
						}
					}
				}
			}
			r.mu.Lock()
			p.file, p.since = n%2, time.Time{}
			r.mu.Unlock()
			if reloadErr = write([]string{routesA, routesB}[n%2]); reloadErr != nil {
				return
			}
			if reloadErr = router.reload(); reloadErr != nil {
				return
			}
			reloads++
			r.mu.Lock()
			p.since = time.Now()
			r.mu.Unlock()
		}
	}()
	random := rand.New(rand.NewPCG(c.Seed, 7))
	every := time.Second / time.Duration(c.Rate)
	for n := 0; time.Since(begun) < length; n++ {
		time.Sleep(time.Until(begun.Add(time.Duration(n) * every)))
		class := []string{"dim-level", "dim-level", "fault-check", "repair-order"}[random.IntN(4)]
		burst := 1
		if n%c.Rate == c.Rate/2 {
			class, burst = "dim-level", 60 // more at once than the cap
		}
		for range burst {
			r.call(clients[random.IntN(len(clients))], fake.Call{Class: class, ID: fmt.Sprintf("%016x", random.Uint64()),
				Key: fmt.Sprintf("%016x", uint64(1+random.IntN(12))*0x1111111111111111), Wait: labWaits[class], Props: "memory_mb:256;lanes:8;load_ms:300", Body: []byte("x")})
		}
	}
	<-ended
	if reloadErr != nil {
		return reloadErr
	}
	extra := 0
	for _, k := range clients {
		for limit := time.Now().Add(4 * time.Second); k.Open() > 0 && time.Now().Before(limit); {
			time.Sleep(10 * time.Millisecond)
		}
		extra += k.Extra()
	}
	router.stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	lost, late, doubled, orders, breaches := r.rules("repair-order")
	fmt.Fprintf(out, "%-24s %8s %8s %8s %8s\n", "phase", "calls", "served", "refused", "failed")
	for _, ph := range []struct {
		name     string
		from, to time.Time
	}{{"before the pool dies", begun, dies}, {"while it is dead", dies.Add(time.Second), back}, {"after its return", back.Add(time.Second), begun.Add(length)}} {
		for _, class := range []string{"dim-level", "fault-check", "repair-order"} {
			by, n := r.totals(class, ph.from, ph.to)
			fmt.Fprintf(out, "%-24s %8d %8d %8d %8d\n", ph.name+", "+class[:3], n, by["served"], by["refused"], by["failed"])
		}
	}
	returned := -1
	for s := 0; s < 60 && returned < 0; s++ {
		from := back.Add(time.Duration(s) * time.Second)
		if by, n := r.totals("dim-level", from, from.Add(time.Second)); n > 0 && by["served"]*100 >= n*95 {
			returned = s
		}
	}
	f.must("seconds_until_95_in_100", returned, returned >= 0)
	f.add("calls", len(r.order))
	f.must("reloads", reloads, reloads > 0)
	f.must("lost", lost, lost == 0)
	f.must("late", late, late == 0)
	f.must("extra_answers", extra, extra == 0)
	f.add("orders", orders)
	f.must("doubled", doubled, doubled == 0)
	f.must("outside_pool", p.outside, p.outside == 0)
	f.must("ration_breaches", breaches, breaches == 0)
	f.must("over_cap", p.over, p.over == 0)
	f.must("peak_of_cap", fmt.Sprintf("%d/24", p.peak), p.peak <= 24 && p.peak >= 16)
	spilled, share := len(p.spilledAt), r.spillShare(p.spilledAt)
	f.must("spilled", spilled, spilled > 0)
	f.must("spill_share_max", share, share <= spillShare*1.02)
	f.add("loads_in_10s_after_return", r.holds(back, back.Add(10*time.Second)))
	f.add("p99_ms", float64(r.percentile("", 0.99).Microseconds())/1000)
	return nil
}

// spillShare is the largest share that the spilled calls of any ten seconds were of the class's calls in them,
// windows with fewer than 100 calls left out.
func (r *record) spillShare(spilled map[string]time.Time) float64 {
	const span = 10 * time.Second
	var came, left []time.Time
	for _, s := range r.order {
		if s.class == "dim-level" {
			came = append(came, s.at)
		}
	}
	for _, at := range spilled {
		left = append(left, at)
	}
	slices.SortFunc(left, time.Time.Compare)
	count := func(list []time.Time, to time.Time) (n int) {
		for _, at := range list {
			if !at.After(to) && at.After(to.Add(-span)) {
				n++
			}
		}
		return n
	}
	worst := 0.0
	for i, to := range left {
		if i%7 > 0 && len(left) > 2000 {
			continue // a sample where there are many
		}
		if n := count(came, to); n >= 100 {
			worst = max(worst, float64(count(left, to))/float64(n))
		}
	}
	return worst
}

// holds counts load orders.
func (r *record) holds(from, to time.Time) (n int) {
	for _, e := range r.events {
		if e.What == "hold" && !e.At.Before(from) && e.At.Before(to) {
			n++
		}
	}
	return n
}
