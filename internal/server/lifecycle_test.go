package server

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// The times of a drain's steps depend on the longest deadline, and all of them are before the platform's kill.
func TestDrainScheduleFollowsTheLongestDeadline(t *testing.T) {
	for _, test := range []struct {
		longestDeadline time.Duration
		want            drainSchedule
	}{
		{100 * ms, drainSchedule{reject: 600 * ms, close: 600 * ms, stop: 740 * ms}},
		{time.Second, drainSchedule{reject: 750 * ms, close: 1500 * ms, stop: 1640 * ms}},
		{3 * time.Second, drainSchedule{reject: 750 * ms, close: 3500 * ms, stop: 3640 * ms}},
		{time.Minute, drainSchedule{reject: 750 * ms, close: 3500 * ms, stop: 3640 * ms}},
	} {
		t.Run(test.longestDeadline.String(), func(t *testing.T) {
			if got := newDrainSchedule(test.longestDeadline); got != test.want {
				t.Errorf("schedule %+v, want %+v", got, test.want)
			}
		})
	}
}

// Each state changes only to the state that is due, and only when it is due.
func TestLifecycleTransitions(t *testing.T) {
	const drainStart = time.Hour
	for _, test := range []struct {
		name    string
		state   lifecycleState
		elapsed time.Duration // since the drain started
		drained bool
		want    lifecycleState
		rejects bool // whether new requests are rejected in the state after the transition
	}{
		{"starting stays", starting, time.Hour, true, starting, false},
		{"serving stays", serving, time.Hour, true, serving, false},
		{"new requests are served", draining, 749 * ms, false, draining, false},
		{"clients may still connect", draining, 749 * ms, true, draining, false},
		{"new requests are rejected", draining, 750 * ms, false, draining, true},
		{"drained before the close", draining, 750 * ms, true, stopped, true},
		{"not closed too early", draining, 1499 * ms, false, draining, true},
		{"closing", draining, 1500 * ms, false, closing, true},
		{"closing before stopped", draining, 1500 * ms, true, closing, true},
		{"closing before stopped after a late turn", draining, time.Minute, false, closing, true},
		{"closed and drained", closing, 1500 * ms, true, stopped, true},
		{"not stopped too early", closing, 1639 * ms, false, closing, true},
		{"out of time", closing, 1640 * ms, false, stopped, true},
		{"stopped stays", stopped, time.Hour, false, stopped, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := lifecycle{state: test.state, schedule: newDrainSchedule(time.Second), drainingSince: drainStart}
			now := drainStart + test.elapsed
			moved := l.advance(now, test.drained)
			if l.state != test.want || moved != (test.want != test.state) {
				t.Errorf("state %d, moved %v, want state %d", l.state, moved, test.want)
			}
			if l.rejectsNewRequests(now) != test.rejects {
				t.Errorf("rejects new requests: %v, want %v", !test.rejects, test.rejects)
			}
		})
	}
}

// A drain starts only once. It can start before the server serves.
func TestDrainStartsOnce(t *testing.T) {
	for _, test := range []struct {
		state lifecycleState
		want  bool
	}{
		{starting, true},
		{serving, true},
		{draining, false},
		{closing, false},
		{stopped, false},
	} {
		l := lifecycle{state: test.state, drainingSince: time.Second}
		if started := l.startDrain(time.Hour); started != test.want || (l.drainingSince == time.Hour) != test.want {
			t.Errorf("from state %d: a drain started: %v, draining since %v", test.state, started, l.drainingSince)
		}
		if test.want && l.state != draining {
			t.Errorf("from state %d: moved to state %d", test.state, l.state)
		}
	}
	l := lifecycle{}
	l.serve(time.Hour)
	if l.state != serving || l.isDraining() || l.servingSince != time.Hour {
		t.Errorf("after the start: %+v", l)
	}
}
