package server

import (
	"time"

	"crankhold/internal/discovery"
	"crankhold/internal/endpoint"
)

const (
	// maxListLag is the most by which a list of discovery may lag behind: lists lag by seconds, for half a minute at a
	// time.
	maxListLag = 45 * time.Second

	// maxClockDrift is how far the wall clock may move relative to the monotonic clock before it counts as stepped.
	maxClockDrift = 500 * time.Millisecond
)

// startTimes holds the start times of workers' processes on the event loop's clock. Discovery reports start times as
// Unix times, but the wall clocks of this machine and of others may be stepped by as much as an hour. Each reported
// time is therefore compared with this machine's wall clock once, when it is first reported, and the result is kept on
// the monotonic clock.
//
// A start time must be possible: no process started in the future, and a process that is missing from an earlier list
// did not start long before that list. If this machine's wall clock has moved relative to its monotonic clock, or a
// start time is not possible, the process counts as started no earlier than shortly before the last list without it. A
// wall clock that has been wrong by a constant time since this program started can't be detected.
//
// It belongs to the event loop's goroutine.
type startTimes struct {
	wallClock func() time.Time
	initial   clockReading
	byName    map[endpoint.NameKey]startTime // by the worker's name
}

// clockReading holds the time of both clocks at the same moment.
type clockReading struct {
	wall      time.Time
	monotonic time.Duration
}

// startTime is the start time of one process, on two clocks.
type startTime struct {
	unixMillis int64         // as discovery reports it; 0: it reports none
	at         time.Duration // on the event loop's clock; 0: long ago
	earliest   time.Duration // the process did not start before; earlier than at where the clocks disagree
}

func newStartTimes(wallClock func() time.Time, now time.Duration) *startTimes {
	return &startTimes{
		wallClock: wallClock,
		initial:   clockReading{wall: wallClock().Round(0), monotonic: now},
		byName:    map[endpoint.NameKey]startTime{},
	}
}

// update records the start times in a list that has just arrived, and forgets workers that are not in it. lastConfirmed
// is when the previous list was last confirmed, or 0 if there was none.
func (s *startTimes) update(now, lastConfirmed time.Duration, list []discovery.Worker) {
	byName := map[endpoint.NameKey]startTime{}
	for _, worker := range list {
		if worker.Started == 0 {
			continue
		}
		started, seen := s.byName[endpoint.KeyOf(worker.Name)]
		if !seen || started.unixMillis != worker.Started {
			started = s.newStartTime(now, lastConfirmed, worker.Started)
		}
		byName[endpoint.KeyOf(worker.Name)] = started
	}
	s.byName = byName
}

// newStartTime converts a start time that discovery reports for the first time to the event loop's clock.
func (s *startTimes) newStartTime(now, lastConfirmed time.Duration, unixMillis int64) startTime {
	wall := s.wallClock().Round(0)
	at := now - wall.Sub(time.UnixMilli(unixMillis))
	drift := (wall.Sub(s.initial.wall) - (now - s.initial.monotonic)).Abs()
	implausible := at > now || lastConfirmed > 0 && at < lastConfirmed-maxListLag
	started := startTime{unixMillis: unixMillis, earliest: max(at, 0)}
	if drift > maxClockDrift || implausible {
		started.earliest = 0
		if lastConfirmed > 0 {
			started.earliest = max(lastConfirmed-discovery.AnnounceDelay, 0)
			at = max(at, started.earliest)
		}
	}
	started.at = max(min(at, now), 1) // 0 would mean that the process started long ago
	return started
}

// startedAt returns a worker's start time, and whether discovery reports one.
func (s *startTimes) startedAt(name string) (started startTime, reported bool) {
	started, reported = s.byName[endpoint.KeyOf(name)]
	return started, reported
}
