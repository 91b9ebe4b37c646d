package server

import (
	"time"

	"crankhold/internal/discovery"
)

const (
	// maxListAge is how old a list of discovery may be on its worst days: it runs seconds behind for half a minute.
	maxListAge = 45 * time.Second

	// maxClockDrift is by how much the wall clock may move against the monotonic one before it counts as stepped.
	maxClockDrift = 500 * time.Millisecond
)

// startTimes keeps when workers' processes started, on the event loop's clock. Discovery reports starts as Unix times,
// and wall clocks are stepped, this machine's and others', by as much as an hour. So each is compared with this
// machine's wall clock once, when it is first reported, and the result is kept on the monotonic clock.
//
// A result is bounded by what is possible: no process started in the future, and a process that is missing from an
// earlier list did not start long before that list. Where this machine's wall clock has moved against its monotonic
// one, or a time lies beyond these bounds, a process counts as started no earlier than just before the last list that
// did not have it. A wall clock that is wrong by the same time from this program's start on can't be detected.
//
// It belongs to the event loop's goroutine.
type startTimes struct {
	wallClock func() time.Time
	first     reading
	known     map[string]startTime // by the worker's name
}

// reading is one of both clocks.
type reading struct {
	wall      time.Time
	monotonic time.Duration
}

// startTime is a start as discovery reports it, and when it was on the event loop's clock.
type startTime struct {
	unixMillis int64
	at         time.Duration
}

func newStartTimes(wallClock func() time.Time, now time.Duration) *startTimes {
	return &startTimes{
		wallClock: wallClock,
		first:     reading{wall: wallClock().Round(0), monotonic: now},
		known:     map[string]startTime{},
	}
}

// update records the starts in a list that has just arrived, and forgets workers that are not in it. lastList is when
// the list before it was last confirmed, 0 for none.
func (s *startTimes) update(now, lastList time.Duration, list []discovery.Worker) {
	known := map[string]startTime{}
	for _, worker := range list {
		if worker.Started == 0 {
			continue
		}
		start, seen := s.known[worker.Name]
		if !seen || start.unixMillis != worker.Started {
			start = startTime{
				unixMillis: worker.Started,
				at:         s.convert(now, lastList, time.UnixMilli(worker.Started)),
			}
		}
		known[worker.Name] = start
	}
	s.known = known
}

// convert returns when a process started whose start discovery now reports for the first time.
func (s *startTimes) convert(now, lastList time.Duration, reported time.Time) time.Duration {
	wall := s.wallClock().Round(0)
	at := now - wall.Sub(reported)
	drift := (wall.Sub(s.first.wall) - (now - s.first.monotonic)).Abs()
	implausible := at > now || lastList > 0 && at < lastList-maxListAge
	if lastList > 0 && (drift > maxClockDrift || implausible) {
		at = max(at, lastList-discovery.AnnounceDelay)
	}
	return min(at, now)
}

// startOf returns a worker's start, and whether discovery reports one.
func (s *startTimes) startOf(name string) (at time.Duration, reported bool) {
	start, reported := s.known[name]
	return max(start.at, 1), reported // 0 would stand for a long time ago
}
