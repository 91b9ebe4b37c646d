package fake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// WorkerConfig says what a stand-in worker is.
type WorkerConfig struct {
	Name  string
	Addr  string   // to listen on; port 0 takes a free one
	More  []string // further addresses, as network:address; tcp6 takes the port of Addr
	Kind  string
	Zone  string
	Cell  int
	Run   time.Duration // a call's work
	Load  time.Duration // loading a copy takes it
	Keep  time.Duration // an idle copy stays for it
	Lanes int           // calls at a time of a copy
	Queue int           // calls that wait for a lane; beyond it they are turned away
	Warm  bool          // every function counts as loaded
}

// Event is something that happened at a worker.
type Event struct {
	At     time.Time
	Worker *Worker
	What   string // run, done, stop, broken, hold, shed or miss
	ID     string // of the call
	Class  string
	Key    string
}

// Worker is a stand-in worker.
type Worker struct {
	WorkerConfig
	record func(Event)

	mu     sync.Mutex
	ports  []*Port
	copies map[string]*model
	held   int
	hangs  bool
	fails  func(id string) bool
}

// model is the copy of a function at a worker.
type model struct {
	ready   bool
	used    time.Time
	busy    int
	waiting []func() // for a lane, or for the load
	loaded  []func()
}

// NewWorker starts a worker; record, which may be nil, is told what happens, by any goroutine.
func NewWorker(c WorkerConfig, record func(Event)) (*Worker, error) {
	if record == nil {
		record = func(Event) {}
	}
	w := &Worker{WorkerConfig: c, record: record, copies: map[string]*model{}}
	first := &Port{w: w, Network: "tcp4", Addr: c.Addr}
	if err := first.Set("well"); err != nil {
		return nil, err
	}
	w.Addr = first.Addr
	w.ports = []*Port{first}
	for _, s := range c.More {
		network, addr, _ := strings.Cut(s, ":")
		if network == "tcp6" {
			_, port, _ := net.SplitHostPort(w.Addr)
			addr = net.JoinHostPort(addr, port)
		}
		p := &Port{w: w, Network: network, Addr: addr}
		if err := p.Set("well"); err != nil {
			if network == "tcp6" {
				continue // this machine has none, or the port is taken there: it does with the others
			}
			w.Close()
			return nil, err
		}
		w.ports = append(w.ports, p)
	}
	return w, nil
}

// Ports are the worker's addresses, the first one first.
func (w *Worker) Ports() []*Port { return w.ports }

// Kill ends the process that the worker stands for: its connections are reset, new ones refused, and its copies
// are gone. It does nothing at one that is down.
func (w *Worker) Kill() {
	for _, p := range w.ports {
		p.Set("refuse")
		p.reset()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.copies = map[string]*model{} // what was open ends with its connection
}

// Start has it come back after a Kill, empty, at the same addresses.
func (w *Worker) Start() error {
	for _, p := range w.ports {
		if err := p.Set("well"); err != nil {
			return err
		}
	}
	return nil
}

// Hang has it take calls and answer none, or no longer.
func (w *Worker) Hang(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hangs = on
}

// Fail has it answer FAULT to the calls that f picks; nil for none.
func (w *Worker) Fail(f func(id string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fails = f
}

// Close ends the worker for good.
func (w *Worker) Close() { w.Kill() }

// peer is a connection with what is open on it.
type peer struct {
	w    *Worker
	port *Port
	c    net.Conn
	out  sync.Mutex
	open map[string]*running
}

type running struct {
	id, class, key string
	over           bool // answered, given up, or its connection broke
}

func (w *Worker) serve(port *Port, c net.Conn) {
	p := &peer{w: w, port: port, c: c, open: map[string]*running{}}
	defer func() {
		c.Close()
		port.forget(c)
		w.mu.Lock()
		for _, r := range p.open {
			p.end(r, "broken")
		}
		w.mu.Unlock()
	}()
	for in := bufio.NewReader(c); ; {
		words, err := readArray(in)
		if err != nil || len(words) < 2 {
			return
		}
		switch {
		case words[0] == "RUN" && len(words) == 4:
			p.run(words[1], words[2], words[3])
		case words[0] == "STOP":
			w.mu.Lock()
			if r := p.open[words[1]]; r != nil {
				p.end(r, "stop")
			}
			w.mu.Unlock()
		case words[0] == "HOLD" && len(words) == 3:
			p.hold(words[1], words[2])
		case words[0] == "FREE":
			w.mu.Lock()
			if m := w.copies[words[1]]; m != nil && m.ready && m.busy == 0 {
				delete(w.copies, words[1])
			}
			w.mu.Unlock()
		case words[0] == "NOOP" || words[0] == "INFO":
			w.mu.Lock()
			hangs, held := w.hangs, w.held
			w.mu.Unlock()
			if !hangs {
				p.answer(words[1], "PONG", fmt.Sprintf("use=inflight:%d", held), "")
			}
		}
	}
}

// end notes that a call is over; the worker is locked.
func (p *peer) end(r *running, what string) {
	if !r.over {
		r.over = true
		delete(p.open, r.id)
		p.w.held--
		p.w.record(Event{time.Now(), p.w, what, r.id, r.class, r.key})
	}
}

func (p *peer) answer(token, word, fields, body string) {
	if p.port.Mode() == "mute" {
		return
	}
	p.out.Lock()
	defer p.out.Unlock()
	writeArray(p.c, token, word, fields, body)
}

// field returns the value of a name in a list of name=value.
func field(list, name string) string {
	for part := range strings.SplitSeq(list, ",") {
		if n, v, ok := strings.Cut(part, "="); ok && n == name {
			return v
		}
	}
	return ""
}

// copyOf returns the copy of a function that stands or loads, without those that were idle for too long.
func (w *Worker) copyOf(key string) *model {
	m := w.copies[key]
	if m != nil && m.ready && m.busy == 0 && w.Keep > 0 && time.Since(m.used) > w.Keep {
		delete(w.copies, key)
		m = nil
	}
	if m == nil && w.Warm {
		m = &model{ready: true, used: time.Now()}
		w.copies[key] = m
	}
	return m
}

func (p *peer) run(id, fields, body string) {
	w, key, class := p.w, field(fields, "path"), field(fields, "queue")
	w.mu.Lock()
	m := w.copyOf(key)
	word := ""
	switch {
	case m == nil:
		word = "NONE"
	case len(m.waiting) >= max(w.Queue, 1):
		word = "SHED"
	}
	if word != "" {
		w.record(Event{time.Now(), w, map[string]string{"NONE": "miss", "SHED": "shed"}[word], id, class, key})
		w.mu.Unlock()
		p.answer(id, word, "-", "")
		return
	}
	r := &running{id: id, class: class, key: key}
	p.open[id] = r
	w.held++
	w.record(Event{time.Now(), w, "run", id, class, key})
	waited := !m.ready
	start := func() { // the worker is locked
		if r.over {
			return
		}
		m.busy++
		time.AfterFunc(w.Run, func() {
			w.mu.Lock()
			m.busy--
			m.used = time.Now()
			hangs, fails, over := w.hangs, w.fails != nil && w.fails(id), r.over
			if !hangs {
				p.end(r, "done")
			}
			held := w.held
			m.next(w)
			w.mu.Unlock()
			switch {
			case hangs || over:
			case fails:
				p.answer(id, "FAULT", "-", "")
			default:
				detail := "hot"
				if waited {
					detail = "waited"
				}
				p.answer(id, "HIT", fmt.Sprintf("detail=%s,use=inflight:%d", detail, held), w.Name+" "+body)
			}
		})
	}
	m.waiting = append(m.waiting, start)
	m.next(w)
	w.mu.Unlock()
}

// next starts what waits while lanes are free; the worker is locked.
func (m *model) next(w *Worker) {
	for m.ready && len(m.waiting) > 0 && m.busy < max(w.Lanes, 1) {
		start := m.waiting[0]
		m.waiting = m.waiting[1:]
		start()
	}
}

func (p *peer) hold(tag, fields string) {
	w, key := p.w, field(fields, "path")
	count, _ := strconv.Atoi(field(fields, "count"))
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.copyOf(key)
	if count > 0 {
		w.record(Event{At: time.Now(), Worker: w, What: "hold", Key: key})
	}
	if m == nil && count > 0 {
		m = &model{}
		w.copies[key] = m
		time.AfterFunc(w.Load, func() {
			w.mu.Lock()
			m.ready, m.used = true, time.Now()
			loaded := m.loaded
			m.loaded = nil
			m.next(w)
			w.mu.Unlock()
			for _, f := range loaded {
				f()
			}
		})
	}
	switch {
	case m == nil:
		go p.answer(tag, "HIT", "count=0", "")
	case m.ready:
		m.used = time.Now()
		go p.answer(tag, "HIT", "count=1", "")
	default:
		m.loaded = append(m.loaded, func() { p.answer(tag, "HIT", "count=1", "") })
	}
}

// The most that a peer may send in one array.
const (
	maxWords = 16
	maxWord  = 1 << 20
)

// readArray reads a RESP array of bulk strings.
func readArray(in *bufio.Reader) (words []string, err error) {
	number := func(mark byte, most int) (int, error) {
		line, err := in.ReadString('\n')
		if err != nil {
			return 0, err
		}
		n, err := strconv.Atoi(strings.TrimSpace(line[1:]))
		if err != nil || line[0] != mark || n < 0 || n > most {
			return 0, fmt.Errorf("malformed line %.20q", line)
		}
		return n, nil
	}
	n, err := number('*', maxWords)
	for range n {
		if err != nil {
			return nil, err
		}
		var size int
		if size, err = number('$', maxWord); err == nil {
			b := make([]byte, size+2)
			_, err = io.ReadFull(in, b)
			words = append(words, string(b[:size]))
		}
	}
	return words, err
}

func writeArray(w io.Writer, words ...string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, s := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(s), s)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
