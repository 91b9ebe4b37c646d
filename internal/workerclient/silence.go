package workerclient

import "time"

// silenceEstimate estimates how long connections that owe answers to calls may well be quiet until one comes. Where many
// calls share a connection that is a few milliseconds; where few do it is as long as calls take, and a sign of life
// asked for after a fixed time would be asked for with every call that takes longer than others, at a price to
// a fleet of routers that adds up. So the longest of late counts, which every further one that a call has run to its end
// in lets fade: a mean with its deviation, as TCP takes of its round trips, is exceeded by many where lengths vary as
// calls' do. It begins with the time in which answers are wanted.
type silenceEstimate struct{ peak time.Duration }

// silenceDecay is how many silences it takes for a long one to count half: about one in so many exceeds it.
const silenceDecay = 64

// observe takes in one silence that has ended.
func (s *silenceEstimate) observe(d time.Duration) { s.peak = max(d, s.peak-s.peak/silenceDecay) }

// typicalMaximum is a length that few silences exceed; before any has been seen, what it began with.
func (s *silenceEstimate) typicalMaximum() time.Duration { return s.peak }
