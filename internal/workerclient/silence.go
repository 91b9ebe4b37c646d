package workerclient

import "time"

// silenceDecay is the number of observations after which a long silence counts half: about one in so many exceeds the
// estimate.
const silenceDecay = 64

// silenceEstimate estimates how long a connection on which responses are due may be silent before that is unusual.
// Where many requests share a connection that is a few milliseconds; where few do it is as long as requests take, and a
// keepalive ping after a fixed time would be sent for each request that takes longer than others, at a price that adds
// up over a fleet of routers. So the estimate is the longest recent silence, which decays with each further one that a
// request ended which ran: a mean with its deviation, as TCP keeps of its round trips, is exceeded often where lengths
// vary as those of requests do. It begins with the slowest latency objective.
type silenceEstimate struct{ peak time.Duration }

// observe records the length of a silence that has ended.
func (s *silenceEstimate) observe(length time.Duration) {
	s.peak = max(length, s.peak-s.peak/silenceDecay)
}

// expected is a length that few silences exceed; before any was observed it is what the estimate began with.
func (s *silenceEstimate) expected() time.Duration { return s.peak }
