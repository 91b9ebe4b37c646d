package discovery

import (
	"math/rand/v2"
	"time"
)

const (
	// AnnounceDelay is the time after which an event counts as announced, whether a router has received it or not.
	AnnounceDelay = 1500 * time.Millisecond

	// pollsPerEvent is the number of polls between an event and the time after which no new work may be sent to its
	// worker.
	pollsPerEvent = 3

	// roundTripAllowance is an upper limit for the time from a query to its response.
	roundTripAllowance = 80 * time.Millisecond

	// initialBackoff is the time after which a query without a response is repeated. It doubles up to the poll
	// interval.
	initialBackoff = 250 * time.Millisecond

	// maxBackoffShift limits how often the backoff is doubled, so that the shifted value can't overflow.
	maxBackoffShift = 8

	// redialDelay is the time from the failure of a socket to the next dial. It is short, because no response can be
	// received in the meantime.
	redialDelay = 200 * time.Millisecond

	// jitterSeed is the second part of the seed. It makes the random numbers differ from those that other packages
	// draw with the same router seed.
	jitterSeed = 0x6469726563
)

// pollSchedule decides when the client dials and sends queries. Times are those of the event loop's monotonic clock.
// pollAt, listConfirmed and the methods whose names start with schedule set next; the latest call counts.
type pollSchedule struct {
	interval    time.Duration // the longest time between two queries on the same socket
	random      *rand.Rand    // source of the jitter
	next        time.Duration // when the next dial or query is due
	lastQuery   time.Duration // when the latest query was sent
	unconfirmed int           // number of queries since a response last confirmed the current list
}

// newPollSchedule returns a schedule with pollsPerEvent polls between an event and the end of the drain grace period.
// The first dial is due at once.
func newPollSchedule(seed uint64, drainGracePeriod time.Duration) pollSchedule {
	interval := (AnnounceDelay+drainGracePeriod)/pollsPerEvent - roundTripAllowance
	return pollSchedule{
		interval: max(interval, initialBackoff),
		random:   rand.New(rand.NewPCG(seed, jitterSeed)),
	}
}

// pollAt sets when the next dial or query is due.
func (s *pollSchedule) pollAt(at time.Duration) { s.next = at }

// scheduleRedial schedules the next dial. It is called when a dial starts, in case it fails, and when a socket has
// failed.
func (s *pollSchedule) scheduleRedial(now time.Duration) { s.next = now + redialDelay }

// scheduleFirstQuery schedules the first query on a new socket after a random part of the initial backoff. The random
// delay spreads the queries of routers that start at the same time.
func (s *pollSchedule) scheduleFirstQuery(now time.Duration) {
	s.next = now + time.Duration(s.random.Int64N(int64(initialBackoff)))
}

// scheduleRetry schedules the next query in case the query that is sent now gets no response.
func (s *pollSchedule) scheduleRetry(now time.Duration) { s.next = now + s.jitter(s.backoff()) }

// querySent records that a query was sent.
func (s *pollSchedule) querySent(now time.Duration) {
	s.unconfirmed++
	s.lastQuery = now
}

// listConfirmed records that a response has confirmed the current list. The next query is due one poll interval after
// the latest one.
func (s *pollSchedule) listConfirmed(now time.Duration) {
	s.unconfirmed = 0
	s.next = max(now, s.lastQuery+s.jitter(s.interval))
}

// backoff returns the time until the next query in case the query that is sent now gets no response.
func (s *pollSchedule) backoff() time.Duration {
	return min(initialBackoff<<min(s.unconfirmed, maxBackoffShift), s.interval)
}

// jitter returns a random duration between four fifths of longest and longest.
func (s *pollSchedule) jitter(longest time.Duration) time.Duration {
	return longest - time.Duration(s.random.Int64N(int64(longest/5)))
}
