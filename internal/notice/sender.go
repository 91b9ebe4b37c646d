package notice

import (
	"log/slog"
	mathrand "math/rand/v2"
	"time"

	"crankhold/internal/eventloop"
	"crankhold/internal/router"
)

const (
	maxConcurrentAttempts = 4
	maxBackoff            = 10 * time.Minute
	maxBackoffSteps       = 10        // after them the delay grows no more, whatever the configured backoff
	idleTickInterval      = time.Hour // when Tick asks to be called again although nothing is due
)

// Dial begins to open a connection to an address, without blocking. The handler is notified later of how the dial
// ended, never before Dial returns.
type Dial func(addr string, timeout time.Duration, h eventloop.DialHandler) Transport

// Transport is a connection to the subscriber; an eventloop.Conn is one.
type Transport interface {
	Write(bufs ...[]byte)
	Close()
}

// Sender sends a signed notice of what became of each order to one subscriber. It never delays a request: a notice that
// its queue has no capacity for is dropped and counted. It belongs to the event loop's goroutine, and none of its
// methods blocks.
type Sender struct {
	config     Config
	subscriber *subscriber
	dial       Dial
	wallClock  func() time.Time
	logger     *slog.Logger

	now      time.Duration // the latest time that a call came with
	queue    noticeQueue
	inFlight int        // attempts that have not ended
	attempts []*attempt // those in flight, and some that have ended since the last Tick
	counters Counters
}

// Options are the parts that a Sender works with.
type Options struct {
	// Config is the sender's part of the webhook file, which Config.Check has checked.
	Config Config
	// Dial opens connections on the event loop.
	Dial Dial
	// WallClock is the system's; notices are dated and signed by it.
	WallClock func() time.Time
	// Logger logs failed attempts; nil: slog.Default().
	Logger *slog.Logger
}

// Counters counts notices by what became of them, and the retries of their attempts.
type Counters struct {
	Queued    uint64
	Dropped   uint64 // since the queue had no capacity
	Delivered uint64 // accepted by the subscriber
	Retried   uint64 // attempts that follow a failed one
	Abandoned uint64 // after the last attempt, or since the subscriber wants the notice never again
}

// NewSender reads the key that the configuration names. It blocks on file I/O and must be called before the event loop
// runs. Its errors are signature.KeyErrors.
func NewSender(options Options) (*Sender, error) {
	subscriber, err := newSubscriber(options.Config)
	if err != nil {
		return nil, err
	}
	logger := options.Logger
	if logger == nil {
		logger = slog.Default()
	}
	return &Sender{
		config:     options.Config,
		subscriber: subscriber,
		dial:       options.Dial,
		wallClock:  options.WallClock,
		logger:     logger,
	}, nil
}

// Notify queues a notice of how an order ended.
func (s *Sender) Notify(now time.Duration, r *router.Request, completion router.Completion) {
	s.now = max(s.now, now)
	if s.Pending() >= s.config.Queue {
		s.counters.Dropped++
		return
	}
	notice, err := newNotice(r, completion, s.wallClock())
	if err != nil {
		s.counters.Dropped++
		return
	}
	s.counters.Queued++
	notice.due = s.now
	s.queue.add(notice)
}

// Pending returns how many notices are queued or being delivered.
func (s *Sender) Pending() int { return s.queue.len() + s.inFlight }

// Counters returns the counters since the start.
func (s *Sender) Counters() Counters { return s.counters }

// Tick begins the attempts that are due and ends those that have timed out. It returns when it is to be called again.
func (s *Sender) Tick(now time.Duration) time.Duration {
	s.now = max(s.now, now)
	due, nextDue := s.queue.takeDue(now, maxConcurrentAttempts-s.inFlight)
	for _, notice := range due {
		s.startAttempt(notice, now)
	}
	nextDeadline := s.expireAttempts(now)
	return min(nextDue, nextDeadline)
}

// startAttempt begins an attempt to deliver a notice.
func (s *Sender) startAttempt(n *notice, now time.Duration) {
	attempt := &attempt{sender: s, notice: n, deadline: now + s.config.Timeout}
	s.inFlight++
	s.attempts = append(s.attempts, attempt)
	attempt.transport = s.dial(s.subscriber.address, s.config.Timeout, attempt)
}

// expireAttempts ends attempts that have timed out and forgets those that have ended. It returns the next deadline.
func (s *Sender) expireAttempts(now time.Duration) (next time.Duration) {
	next = now + idleTickInterval
	inFlight := s.attempts[:0]
	for _, attempt := range s.attempts {
		if !attempt.done && attempt.deadline <= now {
			attempt.fail(errTimeout)
		}
		if !attempt.done {
			next = min(next, attempt.deadline)
			inFlight = append(inFlight, attempt)
		}
	}
	clear(s.attempts[len(inFlight):])
	s.attempts = inFlight
	return next
}

// attemptCompleted counts a notice that the subscriber accepted. One that it did not accept is retried later, until its
// attempts are used up or the subscriber has answered with 410. Status is statusNone where err is set.
func (s *Sender) attemptCompleted(n *notice, status statusCode, err error) {
	s.inFlight--
	n.attempts++
	if status.isSuccess() {
		s.counters.Delivered++
		return
	}
	s.logger.Warn("webhook_notice_failed", slog.String("id", n.id), slog.Int("attempt", n.attempts),
		slog.Int("status", int(status)), slog.Any("err", err))
	if n.attempts >= s.config.Attempts || status == statusGone {
		s.counters.Abandoned++
		return
	}
	s.counters.Retried++
	n.due = s.now + retryDelay(s.config.Backoff, n.attempts)
	s.queue.add(n)
}

// retryDelay is the delay before the next attempt: the backoff, four times as long after each further failure, up to
// maxBackoff. Half of it is random, so that notices that failed together are not retried together.
func retryDelay(backoff time.Duration, failures int) time.Duration {
	steps := min(failures-1, maxBackoffSteps)
	delay := min(backoff<<(2*steps), maxBackoff)
	return delay/2 + mathrand.N(delay/2+1)
}
