package workerclient

import "time"

// silenceDecay is the number of observations after which a long silence counts less than half. About one silence in
// silenceDecay exceeds the estimate.
const silenceDecay = 64

// silenceEstimate estimates how long a connection on which responses are due may be silent before that is unusual. If
// many requests share a connection, the estimate is a few milliseconds. If few do, it is as long as requests take. A
// keepalive ping after a fixed time would be sent for each request that takes longer than that time, at a cost that
// adds up over a fleet of routers.
//
// The estimate is therefore the longest recent silence. It decays with each further silence that ends with the response
// to a request that ran. A mean with its deviation, as TCP keeps of its round trips, would be exceeded often, because
// the durations of requests vary widely. The initial estimate is the slowest latency objective.
type silenceEstimate struct{ peak time.Duration }

// observe records the length of a silence that has ended.
func (s *silenceEstimate) observe(length time.Duration) {
	s.peak = max(length, s.peak-s.peak/silenceDecay)
}

// expected returns a length that few silences exceed. Before any silence was observed, it is the initial estimate.
func (s *silenceEstimate) expected() time.Duration { return s.peak }
