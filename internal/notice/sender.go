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
	maxBackoffSteps       = 10        // the delay stops growing after this many steps, whatever the configured backoff
	idleTickInterval      = time.Hour // the longest time after which Tick asks to be called again
)

// Dial starts to open a connection to an address, without blocking. The result is reported to the handler later, never
// before Dial returns.
type Dial func(addr string, timeout time.Duration, h eventloop.DialHandler) Transport

// Transport is a connection to the subscriber. *eventloop.Conn implements it.
type Transport interface {
	Write(bufs ...[]byte)
	Close()
}

// Sender sends a signed notice about the result of each order to one subscriber. It never delays a request: if its
// queue has no capacity for a notice, the notice is dropped and counted. A Sender must only be used on the event loop's
// goroutine, and none of its methods blocks.
type Sender struct {
	config     Config
	subscriber *subscriber
	dial       Dial
	wallClock  func() time.Time
	logger     *slog.Logger

	now      time.Duration // the latest time that was passed to a method
	queue    noticeQueue
	inFlight int        // attempts that are not complete
	attempts []*attempt // those in flight, and those that have completed since the last Tick
	counters Counters
}

// Options holds the configuration and the dependencies of a Sender.
type Options struct {
	// Config is the sender's part of a webhook file that Config.Check has checked.
	Config Config
	// Dial opens connections on the event loop.
	Dial Dial
	// WallClock returns the system's time, which is used for the timestamps and signatures of notices.
	WallClock func() time.Time
	// Logger logs failed attempts. If it is nil, slog.Default() is used.
	Logger *slog.Logger
}

// Counters counts notices by their result, and the retries of their delivery.
type Counters struct {
	Queued    uint64
	Dropped   uint64 // the queue had no capacity, or the notice could not be encoded
	Delivered uint64 // accepted by the subscriber
	Retried   uint64 // attempts that follow a failed one
	Abandoned uint64 // the last attempt failed, or the subscriber asked not to be sent the notice again
}

// NewSender reads the key that the configuration names. It blocks on file I/O and must be called before the event loop
// runs. Its errors are of type *signature.KeyError.
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

// Notify queues a notice about how an order completed.
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

// Tick starts the attempts that are due and fails those that have timed out. It returns the time at which it must be
// called again.
func (s *Sender) Tick(now time.Duration) time.Duration {
	s.now = max(s.now, now)
	due, nextDue := s.queue.takeDue(now, maxConcurrentAttempts-s.inFlight)
	for _, notice := range due {
		s.startAttempt(notice, now)
	}
	nextDeadline := s.expireAttempts(now)
	return min(nextDue, nextDeadline)
}

// startAttempt starts an attempt to deliver a notice.
func (s *Sender) startAttempt(n *notice, now time.Duration) {
	attempt := &attempt{sender: s, notice: n, deadline: now + s.config.Timeout}
	s.inFlight++
	s.attempts = append(s.attempts, attempt)
	attempt.transport = s.dial(s.subscriber.address, s.config.Timeout, attempt)
}

// expireAttempts fails the attempts that have timed out and removes the complete ones. It returns the next deadline.
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

// attemptCompleted counts a notice that the subscriber accepted. Any other notice is retried later, unless this was its
// last attempt or the subscriber responded with 410. Status is statusNone if err is set.
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

// retryDelay returns the delay before the next attempt: the configured backoff, multiplied by four after each further
// failure, up to maxBackoff. Half of the delay is random, so that notices that failed together are not retried
// together.
func retryDelay(backoff time.Duration, failures int) time.Duration {
	steps := min(failures-1, maxBackoffSteps)
	delay := min(backoff<<(2*steps), maxBackoff)
	return delay/2 + mathrand.N(delay/2+1)
}
