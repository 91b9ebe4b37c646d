package webhook

import (
	"bytes"
	crand "crypto/rand"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/url"
	"strconv"
	"time"

	"crankhold/internal/eventloop"
	"crankhold/internal/router"
)

const (
	maxConcurrentAttempts = 4
	maxNoticeResponse     = 8 << 10 // of a receiver's answer that is read
	maxBackoff            = 10 * time.Minute
)

// Sender sends a signed notice of what became of each order. It is never in a request's way: what
// its queue has no room for is dropped and counted.
type Sender struct {
	cfg       *Config
	url       *url.URL
	address   string
	secret    []byte
	dial      func(addr string, timeout time.Duration, h eventloop.DialHandler) Transport
	wallClock func() time.Time
	now       time.Duration
	queue     []*notice // waiting for their time
	inFlight  int
	attempts  []*noticeAttempt
	Counters  SenderCounters
}

// SenderCounters tells what became of notices.
type SenderCounters struct{ Queued, Dropped, Delivered, Retried, GivenUp uint64 }

type notice struct {
	id       string // the same in each delivery
	body     []byte
	attempts int
	due      time.Duration
}

// NewSender reads the key.
func NewSender(cfg *Config, wall func() time.Time, dial func(addr string, timeout time.Duration, h eventloop.DialHandler) Transport) (*Sender, error) {
	u, err := url.Parse(cfg.Sender.URL)
	if err != nil {
		return nil, fmt.Errorf("sender.url: %w", err)
	}
	s := &Sender{cfg: cfg, url: u, address: cfg.Sender.Connect, dial: dial, wallClock: wall}
	if s.address == "" {
		if s.address = u.Host; u.Port() == "" {
			s.address += ":80"
		}
	}
	if s.secret, err = readKey(cfg.Sender.Key); err != nil {
		return nil, err
	}
	return s, nil
}

// Notify queues a notice of an order's outcome: served, refused, failed or abandoned.
func (s *Sender) Notify(now time.Duration, r *router.Request, what router.Completion) {
	s.now = max(s.now, now)
	if len(s.queue)+s.inFlight >= s.cfg.Sender.Queue {
		s.Counters.Dropped++
		return
	}
	type data struct {
		ID  string `json:"id"`
		Ref string `json:"webhook_id,omitempty"` // of the delivery that the order came by
		Key string `json:"key"`
	}
	body, err := json.Marshal(struct {
		Type      string    `json:"type"`
		Timestamp time.Time `json:"timestamp"`
		Data      data      `json:"data"`
	}{"repair-order." + string(what), s.wallClock().UTC(), data{r.ID, r.ClientReference, r.FunctionKey}})
	if err != nil {
		s.Counters.Dropped++
		return
	}
	var id [16]byte
	crand.Read(id[:]) // never fails
	s.Counters.Queued++
	s.queue = append(s.queue, &notice{id: "msg_" + base64.RawURLEncoding.EncodeToString(id[:]), body: body, due: s.now})
}

// Pending is how many notices have not come to their end.
func (s *Sender) Pending() int { return len(s.queue) + s.inFlight }

// Tick sends what is due, and returns when it is to be called again.
func (s *Sender) Tick(now time.Duration) time.Duration {
	s.now = max(s.now, now)
	next := now + time.Hour
	keep := s.queue[:0]
	for _, n := range s.queue {
		if n.due <= now && s.inFlight < maxConcurrentAttempts {
			s.inFlight++
			d := &noticeAttempt{sender: s, notice: n}
			d.transport = s.dial(s.address, s.cfg.Sender.Timeout, d)
			d.deadline = now + s.cfg.Sender.Timeout
			s.attempts = append(s.attempts, d)
			continue
		}
		if s.inFlight < maxConcurrentAttempts {
			next = min(next, n.due)
		}
		keep = append(keep, n)
	}
	clear(s.queue[len(keep):])
	s.queue = keep
	flying := s.attempts[:0]
	for _, d := range s.attempts {
		if !d.done && d.deadline <= now {
			d.complete(0, errors.New("no answer in time"))
		}
		if !d.done {
			next = min(next, d.deadline)
			flying = append(flying, d)
		}
	}
	clear(s.attempts[len(flying):])
	s.attempts = flying
	return next
}

// noticeAttempt is one try to deliver a notice, on a connection of its own.
type noticeAttempt struct {
	sender    *Sender
	notice    *notice
	transport Transport
	deadline  time.Duration
	response  []byte
	done      bool
}

// DialCompleted sends the notice, signed with the time of this try.
func (d *noticeAttempt) DialCompleted(err error) {
	if err != nil {
		d.complete(0, err)
		return
	}
	if d.done {
		return
	}
	s, n := d.sender, d.notice
	stamp := strconv.FormatInt(s.wallClock().Unix(), 10)
	head := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"+
		"webhook-id: %s\r\nwebhook-timestamp: %s\r\nwebhook-signature: %s\r\nConnection: close\r\n\r\n",
		s.url.RequestURI(), s.url.Host, len(n.body), n.id, stamp, sign(s.secret, n.id, stamp, n.body))
	d.transport.Write(head, n.body)
}

// Data reads the status line; nothing else of the answer matters.
func (d *noticeAttempt) Data(b []byte) {
	if d.done {
		return
	}
	d.response = append(d.response, b...)
	line, _, whole := bytes.Cut(d.response[:min(len(d.response), maxNoticeResponse)], []byte("\r\n"))
	if !whole {
		if len(d.response) >= maxNoticeResponse {
			d.complete(0, errors.New("malformed answer"))
		}
		return
	}
	words := bytes.SplitN(line, []byte{' '}, 3)
	status := 0
	if len(words) >= 2 && bytes.HasPrefix(words[0], []byte("HTTP/1.")) && len(words[1]) == 3 {
		status, _ = strconv.Atoi(string(words[1]))
	}
	if status >= 100 && status < 200 { // an interim answer; the one that counts follows
		if end := bytes.Index(d.response, []byte("\r\n\r\n")); end >= 0 {
			rest := d.response[end+4:]
			d.response = nil
			d.Data(rest)
		}
		return
	}
	d.complete(status, nil)
}

// Closed without an answer is a try that failed.
func (d *noticeAttempt) Closed(err error) {
	if err == nil {
		err = errors.New("closed without an answer")
	}
	d.complete(0, err)
}

// complete ends the try. What was not taken comes again, later each time, until its tries are used
// up; 410 says that it is never to come again.
func (d *noticeAttempt) complete(status int, err error) {
	if d.done {
		return
	}
	d.done = true
	d.transport.Close()
	s, n := d.sender, d.notice
	s.inFlight--
	if n.attempts++; status >= 200 && status < 300 {
		s.Counters.Delivered++
		return
	}
	slog.Warn("webhook_notice_failed", "id", n.id, "try", n.attempts, "status", status, "err", err)
	if n.attempts >= s.cfg.Sender.Attempts || status == 410 {
		s.Counters.GivenUp++
		return
	}
	s.Counters.Retried++
	wait := min(s.cfg.Sender.Backoff<<(2*min(n.attempts-1, 10)), maxBackoff)
	n.due = s.now + wait/2 + jitter(wait/2)
	s.queue = append(s.queue, n)
}

// jitter returns a time below most, so that notices that failed together come apart.
func jitter(most time.Duration) time.Duration {
	return rand.N(most + 1)
}
