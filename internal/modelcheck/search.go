package modelcheck

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"sync"
)

// path is the way from the start to a state: the index of each step.
type path []uint8

// extend returns the path with one more step. The new path shares no memory with other extensions of the path.
func (p path) extend(step int) path {
	return append(p[:len(p):len(p)], uint8(step))
}

// stateKey is a hash of System.Key.
type stateKey [16]byte

// hashKey returns the hash of the key of a system's state.
func hashKey(s System) (key stateKey) {
	sum := sha256.Sum256([]byte(s.Key()))
	copy(key[:], sum[:])
	return key
}

// transition is the result of one step.
type transition struct {
	path  path // to the new state; nil at the end of a run
	key   stateKey
	err   error    // the broken property, or nil
	trace []string // to the broken property
}

// Search explores all states, breadth first, until a property is broken, no state is left, or it has seen maxStates
// states. It blocks until then. The result does not depend on the number of goroutines.
func Search(start func() System, maxStates, goroutines int) Result {
	s := &search{
		start:      start,
		maxStates:  maxStates,
		goroutines: goroutines,
		seen:       map[stateKey]bool{},
		result:     Result{States: 1, Complete: true},
	}
	for level := []path{nil}; len(level) > 0; s.result.Depth++ {
		next, done := s.collect(s.expand(level))
		if done {
			break
		}
		level = next
	}
	return s.result
}

// search is a search in progress. It belongs to the goroutine that calls Search; other goroutines only read start and
// goroutines.
type search struct {
	start      func() System
	maxStates  int
	goroutines int
	seen       map[stateKey]bool
	result     Result
}

// expand takes every possible step from the end of each path. The transitions are in the order of the paths.
func (s *search) expand(level []path) [][]transition {
	transitions := make([][]transition, len(level))
	var wait sync.WaitGroup
	for first := range s.goroutines {
		wait.Go(func() {
			for i := first; i < len(level); i += s.goroutines {
				transitions[i] = expandPath(s.start, level[i])
			}
		})
	}
	wait.Wait()
	return transitions
}

// collect adds a level's transitions to the result and returns the paths to new states. done is true if a property is
// broken or there are too many states.
func (s *search) collect(level [][]transition) (next []path, done bool) {
	for _, t := range slices.Concat(level...) {
		s.result.Transitions++
		if t.err != nil {
			s.result.Err = t.err
			s.result.Trace = t.trace
			return nil, true
		}
		if t.path == nil || s.seen[t.key] {
			continue
		}
		if s.result.States >= s.maxStates {
			s.result.Complete = false
			return nil, true
		}
		s.seen[t.key] = true
		s.result.States++
		next = append(next, t.path)
	}
	return next, false
}

// expandPath takes every possible step from the end of a path. If there is none, it ends the run.
func expandPath(start func() System, p path) []transition {
	s, trace, err := replay(start, p)
	if err != nil {
		return []transition{{err: err, trace: trace}}
	}
	steps := s.Steps()
	if len(steps) == 0 {
		return []transition{{err: catchPanic(s.End), trace: append(trace, endOfTrace)}}
	}
	transitions := make([]transition, len(steps))
	for step := range steps {
		transitions[step] = runPath(start, p.extend(step))
	}
	return transitions
}

// runPath replays a path and returns its last transition.
func runPath(start func() System, p path) transition {
	s, trace, err := replay(start, p)
	if err != nil {
		return transition{path: p, err: err, trace: trace}
	}
	return transition{path: p, key: hashKey(s)}
}

// replay runs a path from the start and returns the system and the names of the steps. It checks the properties only
// after the last step, because they were checked after earlier steps when the shorter paths were run.
func replay(start func() System, p path) (s System, trace []string, err error) {
	s = start()
	for n, step := range p {
		trace = append(trace, s.Steps()[step])
		if err := takeStep(s, int(step)); err != nil {
			return s, trace, err
		}
		if n < len(p)-1 {
			continue
		}
		if err := catchPanic(s.Check); err != nil {
			return s, trace, err
		}
	}
	return s, trace, nil
}

// takeStep takes a step, and returns a panic as an error.
func takeStep(s System, step int) error {
	return catchPanic(func() error {
		s.Do(step)
		return nil
	})
}

// catchPanic calls f and returns a panic as an error, because a panic counts as a broken property.
func catchPanic(f func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = fmt.Errorf("panic: %v", value)
		}
	}()
	return f()
}
