package discovery

import (
	"math/rand/v2"
	"time"
)

const (
	// AnnounceDelay is the time after an event at which it counts as announced, whether a router has received it or
	// not.
	AnnounceDelay = 1500 * time.Millisecond

	// pollsPerEvent is how many polls fall between an event and the time at which nothing new may be sent to its
	// worker.
	pollsPerEvent = 3

	// roundTripAllowance is more than a query and its response take.
	roundTripAllowance = 80 * time.Millisecond

	// initialBackoff is the time after which a query without a response is repeated. It doubles up to the poll
	// interval.
	initialBackoff = 250 * time.Millisecond

	// maxBackoffShift bounds the doublings, so that the shifted value can't overflow.
	maxBackoffShift = 8

	// redialDelay is the time between a socket's failure and the next dial. It is short, since it adds to the
	// time in which no response is received.
	redialDelay = 200 * time.Millisecond

	// jitterSeed keeps the schedule's random numbers apart from those that other packages draw by the same seed.
	jitterSeed = 0x6469726563
)

// pollSchedule decides when the client dials and sends queries. Times are on the event loop's monotonic clock. Each
// method whose name begins with schedule, and pollAt, sets next; the latest call counts.
type pollSchedule struct {
	interval    time.Duration // between queries that are answered, at most
	random      *rand.Rand    // source of the jitter
	next        time.Duration // when the next dial or query is due
	lastQuery   time.Duration // when the latest query was sent
	unconfirmed int           // queries since the last one that was answered with the current list
}

// newPollSchedule returns a schedule by which pollsPerEvent polls fall between an event and the end of the drain grace
// period. The first dial is due at once.
func newPollSchedule(seed uint64, drainGracePeriod time.Duration) pollSchedule {
	interval := (AnnounceDelay+drainGracePeriod)/pollsPerEvent - roundTripAllowance
	return pollSchedule{
		interval: max(interval, initialBackoff),
		random:   rand.New(rand.NewPCG(seed, jitterSeed)),
	}
}

// pollAt sets when the next dial or query is due.
func (s *pollSchedule) pollAt(at time.Duration) { s.next = at }

// scheduleRedial sets when the next dial is due if the present one fails, or if the socket has failed.
func (s *pollSchedule) scheduleRedial(now time.Duration) { s.next = now + redialDelay }

// scheduleFirstQuery schedules the first query over a new socket, after a random part of the initial backoff. That
// spreads routers that start together.
func (s *pollSchedule) scheduleFirstQuery(now time.Duration) {
	s.next = now + time.Duration(s.random.Int64N(int64(initialBackoff)))
}

// scheduleRetry schedules the query that follows if the one that is sent now is not answered.
func (s *pollSchedule) scheduleRetry(now time.Duration) { s.next = now + s.jitter(s.backoff()) }

// querySent records that a query was sent.
func (s *pollSchedule) querySent(now time.Duration) {
	s.unconfirmed++
	s.lastQuery = now
}

// listConfirmed records that a response has confirmed the current list. The next query is due one poll interval after
// the last.
func (s *pollSchedule) listConfirmed(now time.Duration) {
	s.unconfirmed = 0
	s.next = max(now, s.lastQuery+s.jitter(s.interval))
}

// backoff returns the time until the next query if the one that is sent now is not answered.
func (s *pollSchedule) backoff() time.Duration {
	return min(initialBackoff<<min(s.unconfirmed, maxBackoffShift), s.interval)
}

// jitter returns a random time between four fifths of longest and longest.
func (s *pollSchedule) jitter(longest time.Duration) time.Duration {
	return longest - time.Duration(s.random.Int64N(int64(longest/5)))
}
