package benchmark

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"crankhold/internal/fake"
)

// Bounds on what the load tool will send, whatever it is asked for.
const (
	mostRate   = 100_000
	mostLength = time.Hour
	mostOpen   = 50_000
)

// Load is an open-loop load: calls leave when they are due, whether the earlier ones were answered or not, and times
// count from when each was due, so that a router that stalls can't hide it (coordinated omission).
type Load struct {
	Addr    string        `help:"The router's address for Thrift, on loopback. Without one, a router and twelve stand-in workers are started."`
	Hook    string        `help:"Send signed webhooks to this URL in place of Thrift; its host must be a loopback address."`
	Key     string        `help:"The webhooks' key file." type:"path"`
	Router  string        `help:"The program to start; the one beside this one unless given." type:"path"`
	Rate    int           `help:"Calls a second; where a ramp begins." default:"500"`
	To      int           `help:"Ramp up to this rate." default:"0"`
	Steps   int           `help:"Steps of the ramp." default:"5"`
	Length  time.Duration `help:"How long each step lasts." default:"5s"`
	Class   string        `help:"Of all calls." default:"dim-level"`
	Wait    time.Duration `help:"How long a client waits." default:"2s"`
	Keys    int           `help:"Functions that are called." default:"12"`
	Conns   int           `help:"Connections." default:"8"`
	Log     string        `help:"Write an HdrHistogram log here." type:"path"`
	Knee    bool          `help:"Find the rate at which the router no longer keeps up, then measure at 50 and 80% of it."`
	Short   bool          `help:"Take under a minute."`
	Seed    uint64        `help:"Of the calls." default:"1"`
	process *process
	send    func(key, id string, done func(verdict string))
	log     *hdrhistogram.HistogramLogWriter
}

// loopback refuses every address that is not on this machine's loopback.
func loopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%q is no address with a port", addr)
	}
	ip, err := netip.ParseAddr(host)
	if err != nil || !ip.IsLoopback() {
		return fmt.Errorf("%s is no loopback address: the load tool sends nowhere else", addr)
	}
	return nil
}

// step is what came of one rate.
type step struct {
	rate            int
	sent, served    int64
	refused, failed int64
	lost, late      int64 // late: the tool itself was behind by over 10 ms
	cores           float64
	h               *hdrhistogram.Histogram
}

func (s *step) share() float64 { return float64(s.served) / float64(max(s.sent, 1)) }

// keeps tells whether the router kept up at this rate: 99 of 100 calls served, and 99 within 400 ms.
func (s *step) keeps() bool {
	return s.share() >= 0.99 && s.h.ValueAtPercentile(99) <= 400_000 && s.late*20 < s.sent
}

// Run loads.
func (l Load) Run(out io.Writer) error {
	if l.Rate < 1 || max(l.Rate, l.To) > mostRate || l.Length <= 0 || l.Length*time.Duration(max(l.Steps, 1)) > mostLength || l.Conns < 1 || l.Conns > 256 || l.Keys < 1 {
		return fmt.Errorf("out of bounds: 1 to %d calls/s, up to %v in all, 1 to 256 connections", mostRate, mostLength)
	}
	if l.Short {
		l.Length = 2 * time.Second
	}
	stop, err := l.connect()
	if err != nil {
		return err
	}
	defer stop()
	if l.Log != "" {
		file, err := os.Create(l.Log)
		if err != nil {
			return err
		}
		defer file.Close()
		l.log = hdrhistogram.NewHistogramLogWriter(file)
		if err := errors.Join(l.log.OutputLogFormatVersion(), l.log.OutputLegend()); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "%8s %8s %8s %8s %8s %6s %9s %9s %9s %7s\n", "calls/s", "sent", "served", "refused", "failed", "lost", "p50 ms", "p99 ms", "p99.9 ms", "cores")
	if l.Knee {
		return l.knee(out)
	}
	f := &figures{}
	for i := range max(l.Steps, 1) {
		rate := l.Rate
		if l.To > 0 && l.Steps > 1 {
			rate += (l.To - l.Rate) * i / (l.Steps - 1)
		} else if i > 0 {
			break
		}
		s, err := l.step(out, rate)
		if err != nil {
			return err
		}
		f.add(fmt.Sprintf("served_%d", rate), s.share())
		f.add(fmt.Sprintf("p999_ms_%d", rate), float64(s.h.ValueAtPercentile(99.9))/1000)
		f.must(fmt.Sprintf("lost_%d", rate), s.lost, s.lost == 0)
	}
	return f.print(out)
}

// knee warms up, doubles the rate until the router no longer keeps up, halves the gap four times, and measures below it.
func (l Load) knee(out io.Writer) error {
	warm := l
	warm.log = nil
	if _, err := warm.step(io.Discard, l.Rate); err != nil { // copies are loaded, connections made
		return err
	}
	good, bad := 0, 0
	for rate := l.Rate; bad == 0 && rate <= mostRate; rate *= 2 {
		s, err := l.step(out, rate)
		if err != nil {
			return err
		}
		if s.keeps() {
			good = rate
		} else {
			bad = rate
		}
	}
	for range 3 {
		rate := (good + bad) / 2
		if bad == 0 || rate == good {
			break
		}
		s, err := l.step(out, rate)
		if err != nil {
			return err
		}
		if s.keeps() {
			good = rate
		} else {
			bad = rate
		}
	}
	f := &figures{}
	f.must("knee", good, good > 0)
	if good == 0 {
		return f.print(out)
	}
	for _, part := range []int{50, 80} {
		s, err := l.step(out, good*part/100)
		if err != nil {
			return err
		}
		f.add(fmt.Sprintf("p999_ms_at_%d", part), float64(s.h.ValueAtPercentile(99.9))/1000)
		f.must(fmt.Sprintf("lost_at_%d", part), s.lost, s.lost == 0)
		if s.cores > 0 {
			f.add(fmt.Sprintf("calls_per_core_at_%d", part), float64(s.rate)/s.cores)
		}
	}
	return f.print(out)
}

// step loads at one rate and prints its row.
func (l Load) step(out io.Writer, rate int) (*step, error) {
	s := &step{rate: rate, h: hdrhistogram.New(1, 60_000_000, 3)}
	var mu sync.Mutex
	var open atomic.Int64
	random := mathrand.New(mathrand.NewPCG(l.Seed, uint64(rate)))
	every := float64(time.Second) / float64(rate)
	used := l.process.cpu()
	begun := time.Now()
	s.h.SetStartTimeMs(begun.UnixMilli())
	for n := 0; ; n++ {
		due := begun.Add(time.Duration(float64(n) * every))
		if due.Sub(begun) >= l.Length {
			break
		}
		time.Sleep(time.Until(due))
		if time.Since(due) > 10*time.Millisecond {
			s.late++
		}
		if open.Load() >= mostOpen {
			return nil, fmt.Errorf("%d calls are open: the router answers none", mostOpen)
		}
		open.Add(1)
		s.sent++
		l.send(fmt.Sprintf("%016x", uint64(1+random.IntN(l.Keys))*0x1111111111111111), fmt.Sprintf("%016x", random.Uint64()), func(verdict string) {
			took := time.Since(due)
			mu.Lock()
			defer mu.Unlock()
			switch verdict {
			case "served":
				s.served++
				s.h.RecordValue(max(took.Microseconds(), 1))
			case "refused":
				s.refused++
			case "failed":
				s.failed++
			default:
				s.lost++
			}
			open.Add(-1)
		})
	}
	took := time.Since(begun)
	s.cores = (l.process.cpu() - used).Seconds() / took.Seconds()
	for limit := time.Now().Add(l.Wait + time.Second); open.Load() > 0 && time.Now().Before(limit); {
		time.Sleep(5 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	s.lost += open.Load()
	s.h.SetEndTimeMs(time.Now().UnixMilli())
	ms := func(p float64) float64 { return float64(s.h.ValueAtPercentile(p)) / 1000 }
	fmt.Fprintf(out, "%8d %8d %8d %8d %8d %6d %9.1f %9.1f %9.1f %7.2f\n", rate, s.sent, s.served, s.refused, s.failed, s.lost, ms(50), ms(99), ms(99.9), s.cores)
	if l.log != nil {
		s.h.SetTag(strconv.Itoa(rate))
		return s, l.log.OutputIntervalHistogram(s.h)
	}
	return s, nil
}

// connect joins the tool to a router, or starts one.
func (l *Load) connect() (func(), error) {
	if l.Hook != "" {
		return func() {}, l.connectHook()
	}
	stop := func() {}
	if l.Addr == "" {
		var err error
		if l.Addr, stop, err = l.start(); err != nil {
			return nil, err
		}
	}
	if err := loopback(l.Addr); err != nil {
		stop()
		return nil, err
	}
	var clients []*fake.Client
	for range l.Conns {
		k, err := fake.Dial(l.Addr)
		if err != nil {
			stop()
			return nil, err
		}
		clients = append(clients, k)
	}
	next := 0
	l.send = func(key, id string, done func(string)) {
		next++ // a connection takes 64 open calls: the least busy of two
		a, b := clients[next%len(clients)], clients[(next*7+3)%len(clients)]
		if b.Open() < a.Open() {
			a = b
		}
		a.Go(fake.Call{Class: l.Class, ID: id, Key: key, Wait: l.Wait, Props: "memory_mb:256;lanes:32;load_ms:300", Body: []byte("x")}, func(x fake.Answer, err error) {
			if err != nil {
				x.Verdict = "lost"
			}
			done(x.Verdict)
		})
	}
	return func() {
		for _, k := range clients {
			k.Close()
		}
		stop()
	}, nil
}

// start starts a router and stand-in workers that answer in a millisecond.
func (l *Load) start() (addr string, stop func(), err error) {
	path, err := findRouter(l.Router)
	if err != nil {
		return "", nil, err
	}
	dir, err := os.MkdirTemp("", "crankhold-lab-")
	if err != nil {
		return "", nil, err
	}
	var workers []fake.WorkerConfig
	for i := range 12 {
		workers = append(workers, fake.WorkerConfig{Name: fmt.Sprintf("s-%d", i+1), Addr: "127.0.0.1:0", Kind: "std", Zone: "here",
			ServiceTime: time.Millisecond, LoadTime: 100 * time.Millisecond, KeepAlive: time.Minute, Lanes: 32, Queue: 256})
	}
	site, err := fake.NewSite("127.0.0.1:0", workers, nil)
	if err != nil {
		return "", nil, err
	}
	stop = func() { site.Close(); os.RemoveAll(dir) }
	if addr, err = fake.FreeAddr(); err == nil {
		config := filepath.Join(dir, "config.json")
		if err = site.WriteConfig(config, addr); err == nil {
			l.process, err = startRouter(path, addr, "EDGE_CONFIG="+config)
		}
	}
	if err != nil {
		stop()
		return "", nil, err
	}
	p, clean := l.process, stop // stop is about to be this function itself
	l.Conns = max(l.Conns, 64)
	return addr, func() { p.stop(); clean() }, nil
}

// connectHook sends signed webhooks (Standard Webhooks: HMAC-SHA256 over id, timestamp and body).
func (l *Load) connectHook() error {
	u, err := url.Parse(l.Hook)
	if err != nil {
		return err
	}
	if err := loopback(u.Host); err != nil {
		return err
	}
	text, err := os.ReadFile(l.Key)
	if err != nil {
		return fmt.Errorf("the webhooks' key: %w", err)
	}
	secret, err := base64.StdEncoding.DecodeString(strings.TrimPrefix(strings.TrimSpace(string(text)), "whsec_"))
	if err != nil {
		return fmt.Errorf("the webhooks' key: %w", err)
	}
	client := &http.Client{Timeout: l.Wait + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: l.Conns, MaxConnsPerHost: l.Conns}}
	l.send = func(key, _ string, done func(string)) {
		go func() {
			body, err := json.Marshal(map[string]any{"type": "call.requested", "timestamp": time.Now().UTC().Format(time.RFC3339), "data": map[string]any{
				"class": l.Class, "key": key, "wait_ms": l.Wait.Milliseconds(), "memory_mb": 256, "lanes": 32, "load_ms": 300, "body": []byte("x")}})
			if err != nil {
				done("lost")
				return
			}
			var raw [8]byte
			rand.Read(raw[:])
			id, stamp := hex.EncodeToString(raw[:]), strconv.FormatInt(time.Now().Unix(), 10)
			mac := hmac.New(sha256.New, secret)
			io.WriteString(mac, id+"."+stamp+"."+string(body))
			r, err := http.NewRequest(http.MethodPost, l.Hook, bytes.NewReader(body))
			if err != nil {
				done("lost")
				return
			}
			r.Header.Set("webhook-id", id)
			r.Header.Set("webhook-timestamp", stamp)
			r.Header.Set("webhook-signature", "v1,"+base64.StdEncoding.EncodeToString(mac.Sum(nil)))
			a, err := client.Do(r)
			if err != nil {
				done("lost")
				return
			}
			io.Copy(io.Discard, a.Body)
			a.Body.Close()
			done(map[int]string{200: "served", 503: "refused", 502: "failed", 504: "failed"}[a.StatusCode])
		}()
	}
	return nil
}

// cpu is how much of the processor the program has used, or 0 where it was not started here. See proc(5), stat.
func (p *process) cpu() time.Duration {
	if p == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	words := strings.Fields(rest)
	if len(words) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(words[11])
	system, _ := strconv.Atoi(words[12])
	return time.Duration(user+system) * 10 * time.Millisecond // a hundred ticks a second, as Linux has them
}
