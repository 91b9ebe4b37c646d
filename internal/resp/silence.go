package resp

import "time"

// silence estimates how long connections that owe answers to calls are usually quiet until one comes, as TCP does of
// its round trips (RFC 6298, section 2). Where many calls share a connection that is a few milliseconds; where few do
// it is as long as calls take, and a sign of life asked for after a fixed time would be asked for with every
// call that takes longer than others, at a price to a fleet of routers that adds up.
type silence struct {
	mean, dev time.Duration
	seen      bool
}

// see takes in one silence that has ended.
func (s *silence) see(d time.Duration) {
	if !s.seen {
		s.mean, s.dev, s.seen = d, d/2, true
		return
	}
	s.dev += (max(d-s.mean, s.mean-d) - s.dev) / 4
	s.mean += (d - s.mean) / 8
}

// usual is a length that few silences exceed; 0 while none has been seen.
func (s *silence) usual() time.Duration { return s.mean + 4*s.dev }
