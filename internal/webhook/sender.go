package webhook

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"log/slog"
	mathrand "math/rand/v2"
	"net/url"
	"time"

	"crankhold/internal/eventloop"
	"crankhold/internal/router"
)

const (
	maxConcurrentAttempts = 4
	maxBackoff            = 10 * time.Minute
	maxBackoffSteps       = 10        // after them the delay grows no more, whatever the configured backoff
	idleTickInterval      = time.Hour // when Tick asks to be called again although nothing is due

	noticeTypePrefix = "repair-order."
	noticeIDPrefix   = "msg_"
	noticeIDBytes    = 16
	defaultHTTPPort  = ":80"
)

// Dial begins to open a connection to an address. The handler hears how the dial ended.
type Dial func(addr string, timeout time.Duration, h eventloop.DialHandler) Transport

// Sender sends a signed notice of what became of each order. It never delays a request: a notice that its queue has no
// room for is dropped and counted.
type Sender struct {
	config    *SenderConfig
	url       *url.URL
	address   string // to connect to
	secret    []byte
	dial      Dial
	wallClock func() time.Time
	now       time.Duration
	queue     []*notice // waiting until they are due
	inFlight  int       // attempts that have not ended
	attempts  []*noticeAttempt
	Counters  SenderCounters
}

// SenderCounters counts notices by what became of them, and the retries of their attempts.
type SenderCounters struct{ Queued, Dropped, Delivered, Retried, Abandoned uint64 }

// notice is a message that is delivered until its receiver accepts it or its attempts are used up.
type notice struct {
	id       string // the same in each attempt
	body     []byte
	attempts int           // that have ended
	due      time.Duration // when the next attempt may begin
}

// noticePayload is the JSON of a notice.
type noticePayload struct {
	Type      string     `json:"type"`
	Timestamp time.Time  `json:"timestamp"`
	Data      noticeData `json:"data"`
}

type noticeData struct {
	ID        string `json:"id"`
	WebhookID string `json:"webhook_id,omitempty"` // of the delivery that the order came in
	Key       string `json:"key"`
}

// NewSender reads the key that cfg names.
func NewSender(cfg *Config, wallClock func() time.Time, dial Dial) (*Sender, error) {
	config := &cfg.Sender
	target, err := url.Parse(config.URL)
	if err != nil {
		return nil, fmt.Errorf("sender.url: %w", err)
	}
	secret, err := readKey(config.Key)
	if err != nil {
		return nil, err
	}
	return &Sender{
		config:    config,
		url:       target,
		address:   connectAddress(config, target),
		secret:    secret,
		dial:      dial,
		wallClock: wallClock,
	}, nil
}

// connectAddress returns the address that notices are sent to: the configured one, else the URL's.
func connectAddress(config *SenderConfig, target *url.URL) string {
	switch {
	case config.Connect != "":
		return config.Connect
	case target.Port() == "":
		return target.Host + defaultHTTPPort
	}
	return target.Host
}

// Notify queues a notice of an order's outcome: served, refused, failed or abandoned.
func (s *Sender) Notify(now time.Duration, r *router.Request, outcome router.Completion) {
	s.now = max(s.now, now)
	if s.Pending() >= s.config.Queue {
		s.Counters.Dropped++
		return
	}
	body, err := json.Marshal(noticePayload{
		Type:      noticeTypePrefix + string(outcome),
		Timestamp: s.wallClock().UTC(),
		Data:      noticeData{ID: r.ID, WebhookID: r.Client.Reference, Key: r.Function.Key},
	})
	if err != nil {
		s.Counters.Dropped++
		return
	}
	s.Counters.Queued++
	s.queue = append(s.queue, &notice{id: newNoticeID(), body: body, due: s.now})
}

func newNoticeID() string {
	var id [noticeIDBytes]byte
	rand.Read(id[:]) // never fails
	return noticeIDPrefix + base64.RawURLEncoding.EncodeToString(id[:])
}

// Pending returns how many notices are queued or being delivered.
func (s *Sender) Pending() int { return len(s.queue) + s.inFlight }

// Tick begins the attempts that are due and ends those that took too long. It returns when it is to be called again.
func (s *Sender) Tick(now time.Duration) time.Duration {
	s.now = max(s.now, now)
	nextDue := s.startDue(now)
	nextTimeout := s.expireAttempts(now)
	return min(nextDue, nextTimeout)
}

// startDue begins an attempt for each notice that is due, as far as attempts are free. It returns when the next notice
// is due; a notice that waits for a free attempt does not count, since the end of an attempt calls for a Tick anyway.
func (s *Sender) startDue(now time.Duration) (next time.Duration) {
	next = now + idleTickInterval
	waiting := s.queue[:0]
	for _, n := range s.queue {
		if s.inFlight >= maxConcurrentAttempts {
			waiting = append(waiting, n)
			continue
		}
		if n.due > now {
			next = min(next, n.due)
			waiting = append(waiting, n)
			continue
		}
		s.startAttempt(n, now)
	}
	clear(s.queue[len(waiting):])
	s.queue = waiting
	return next
}

// startAttempt begins an attempt to deliver a notice.
func (s *Sender) startAttempt(n *notice, now time.Duration) {
	attempt := &noticeAttempt{sender: s, notice: n, deadline: now + s.config.Timeout}
	s.inFlight++
	s.attempts = append(s.attempts, attempt)
	attempt.transport = s.dial(s.address, s.config.Timeout, attempt)
}

// expireAttempts ends attempts that took too long and forgets those that have ended. It returns the next deadline.
func (s *Sender) expireAttempts(now time.Duration) (next time.Duration) {
	next = now + idleTickInterval
	open := s.attempts[:0]
	for _, attempt := range s.attempts {
		if !attempt.done && attempt.deadline <= now {
			attempt.fail(errNoticeTimeout)
		}
		if !attempt.done {
			next = min(next, attempt.deadline)
			open = append(open, attempt)
		}
	}
	clear(s.attempts[len(open):])
	s.attempts = open
	return next
}

// attemptCompleted counts a notice that its receiver accepted, and has one that it did not retried later, until its
// attempts are used up. A receiver that answers with 410 wants it never again. Status is 0 where err is set.
func (s *Sender) attemptCompleted(n *notice, status httpStatus, err error) {
	s.inFlight--
	n.attempts++
	if status.isSuccess() {
		s.Counters.Delivered++
		return
	}
	slog.Warn("webhook_notice_failed", slog.String("id", n.id), slog.Int("attempt", n.attempts),
		slog.Int("status", int(status)), slog.Any("err", err))
	if n.attempts >= s.config.Attempts || status == statusGone {
		s.Counters.Abandoned++
		return
	}
	s.Counters.Retried++
	n.due = s.now + retryDelay(s.config.Backoff, n.attempts)
	s.queue = append(s.queue, n)
}

// retryDelay is the delay before the next attempt: the backoff, four times as long after each further failure, up to
// maxBackoff. Half of it is random, so that notices that failed together are not retried together.
func retryDelay(backoff time.Duration, failures int) time.Duration {
	steps := min(failures-1, maxBackoffSteps)
	delay := min(backoff<<(2*steps), maxBackoff)
	return delay/2 + mathrand.N(delay/2+1)
}
