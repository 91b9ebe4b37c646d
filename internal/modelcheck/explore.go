// Package modelcheck is a small explicit-state checker: it runs real code over every interleaving of what may happen
// to it in a small scope, and stops at the first state that breaks a property, with the shortest way to it.
//
// Real code can't be copied half way, so a state is reached by running its steps again from the start; states that
// are alike by their key are followed up once. It imports the standard library alone; tests and the lab call it.
package modelcheck

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"sync"
)

// System is a run of the code under test with the world around it. The same steps must always lead to the same
// state.
type System interface {
	// Steps names what may happen next, always in the same order.
	Steps() []string
	// Do has one of them happen.
	Do(step int)
	// Check tells what property does not hold now.
	Check() error
	// End is called where nothing more may happen; it tells what should have happened and has not.
	End() error
	// Key is the same for states from which the same can follow.
	Key() string
}

// Result is what a search found.
type Result struct {
	States      int // that differ
	Transitions int
	Depth       int
	Whole       bool     // all states of the scope were seen
	Trace       []string // the shortest way to a broken property
	Err         error    // the property
}

// String words the result on one line, or with its trace.
func (r Result) String() string {
	s := fmt.Sprintf("states=%d transitions=%d depth=%d whole=%v", r.States, r.Transitions, r.Depth, r.Whole)
	if r.Err != nil {
		s += fmt.Sprintf("\n%v after\n  %s", r.Err, strings.Join(r.Trace, "\n  "))
	}
	return s
}

// found is what following one step led to.
type found struct {
	way  []uint8
	key  [16]byte
	err  error
	path []string
}

// Search follows all steps, breadth first, until it has seen most states, on several goroutines; the result does
// not depend on how many.
func Search(start func() System, most, goroutines int) Result {
	r := Result{States: 1, Whole: true}
	seen := map[[16]byte]bool{}
	level := [][]uint8{nil}
	for ; len(level) > 0; r.Depth++ {
		results := make([][]found, len(level))
		var wait sync.WaitGroup
		for g := range goroutines {
			wait.Add(1)
			go func() {
				defer wait.Done()
				for i := g; i < len(level); i += goroutines {
					results[i] = follow(start, level[i])
				}
			}()
		}
		wait.Wait()
		var next [][]uint8
		for _, list := range results {
			for _, f := range list {
				r.Transitions++
				if f.err != nil {
					r.Err, r.Trace = f.err, f.path
					return r
				}
				if f.way == nil || seen[f.key] {
					continue
				}
				if r.States >= most {
					r.Whole = false
					return r
				}
				seen[f.key] = true
				r.States++
				next = append(next, f.way)
			}
		}
		level = next
	}
	return r
}

// follow takes each step from the end of a way.
func follow(start func() System, way []uint8) (list []found) {
	s, path, err := replay(start, way)
	if err != nil {
		return []found{{err: err, path: path}}
	}
	steps := s.Steps()
	if len(steps) == 0 {
		err := guard(s.End)
		return []found{{err: err, path: append(path, "(the end)")}}
	}
	for i := range steps {
		longer := append(way[:len(way):len(way)], uint8(i))
		s, path, err := replay(start, longer)
		f := found{way: longer, err: err}
		if err != nil {
			f.path = path
		} else {
			sum := sha256.Sum256([]byte(s.Key()))
			copy(f.key[:], sum[:])
		}
		list = append(list, f)
	}
	return list
}

// replay runs a way from the start; properties were checked on all of it but the last step.
func replay(start func() System, way []uint8) (s System, path []string, err error) {
	s = start()
	for n, i := range way {
		path = append(path, s.Steps()[i])
		if err = guard(func() error { s.Do(int(i)); return nil }); err == nil && n == len(way)-1 {
			err = guard(s.Check)
		}
		if err != nil {
			return s, path, err
		}
	}
	return s, path, nil
}

// guard takes a panic for a broken property: it is one.
func guard(f func() error) (err error) {
	defer func() {
		if x := recover(); x != nil {
			err = fmt.Errorf("panic: %v", x)
		}
	}()
	return f()
}
