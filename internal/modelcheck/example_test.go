package modelcheck_test

import (
	"errors"
	"fmt"

	"crankhold/internal/modelcheck"
)

// increment is the next step of a process that increments a shared counter without a lock.
type increment int

const (
	mustRead increment = iota
	mustWrite
	done
)

// lostUpdate is a system of two processes that increment a shared counter.
type lostUpdate struct {
	counter int
	next    [2]increment
	read    [2]int // the value that each process read
}

// Steps implements modelcheck.System.
func (s *lostUpdate) Steps() (steps []string) {
	for process, next := range s.next {
		switch next {
		case mustRead:
			steps = append(steps, fmt.Sprintf("process %d reads", process))
		case mustWrite:
			steps = append(steps, fmt.Sprintf("process %d writes", process))
		}
	}
	return steps
}

// Do implements modelcheck.System.
func (s *lostUpdate) Do(step int) {
	for process, next := range s.next {
		if next == done {
			continue
		}
		if step > 0 {
			step--
			continue
		}
		if next == mustRead {
			s.read[process] = s.counter
		} else {
			s.counter = s.read[process] + 1
		}
		s.next[process]++
		return
	}
}

// Check implements modelcheck.System.
func (s *lostUpdate) Check() error { return nil }

// End implements modelcheck.System.
func (s *lostUpdate) End() error {
	if s.counter != 2 {
		return errors.New("an update is lost")
	}
	return nil
}

// Key implements modelcheck.System.
func (s *lostUpdate) Key() string { return fmt.Sprint(*s) }

// Two processes that increment a counter without a lock may lose an update.
func Example() {
	result := modelcheck.Search(func() modelcheck.System { return &lostUpdate{} }, 1000, 4)
	fmt.Println(result.Err)
	for _, step := range result.Trace {
		fmt.Println("-", step)
	}
	// Output:
	// an update is lost
	// - process 0 reads
	// - process 1 reads
	// - process 0 writes
	// - process 1 writes
	// - (the end)
}
