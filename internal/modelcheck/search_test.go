package modelcheck

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
)

// counters is a system of two counters, which are incremented in steps up to a limit.
type counters struct {
	a     int
	b     int
	limit int
	// forbidden is the pair of values that the counters may not have at the same time.
	forbidden [2]int
	// missing is the error that End returns.
	missing error
	// panicAt is the value of counter a at which Do panics. 0 means never.
	panicAt int
}

// neverForbidden is a pair of values that the counters never have, for tests without forbidden values.
var neverForbidden = [2]int{-1, -1}

// Steps implements System.
func (c *counters) Steps() (steps []string) {
	if c.a < c.limit {
		steps = append(steps, "a")
	}
	if c.b < c.limit {
		steps = append(steps, "b")
	}
	return steps
}

// Do implements System.
func (c *counters) Do(step int) {
	if c.Steps()[step] == "b" {
		c.b++
		return
	}
	c.a++
	if c.panicAt > 0 && c.a == c.panicAt {
		panic("too high")
	}
}

// Check implements System.
func (c *counters) Check() error {
	if [2]int{c.a, c.b} == c.forbidden {
		return errors.New("met")
	}
	return nil
}

// End implements System.
func (c *counters) End() error { return c.missing }

// Key implements System.
func (c *counters) Key() string { return fmt.Sprint(c.a, c.b) }

// searchCounters runs Search with copies of c.
func searchCounters(c counters, maxStates, goroutines int) Result {
	return Search(func() System {
		fresh := c
		return &fresh
	}, maxStates, goroutines)
}

func TestSearchSeesTheWholeScope(t *testing.T) {
	r := searchCounters(counters{limit: 4, forbidden: neverForbidden}, 1000, 1)
	if r.States != 25 || !r.Complete || r.Err != nil {
		t.Error(r)
	}
}

func TestSearchReturnsTheShortestTrace(t *testing.T) {
	c := counters{limit: 4, forbidden: [2]int{2, 1}}
	r := searchCounters(c, 1000, 1)
	if r.Err == nil || len(r.Trace) != 3 {
		t.Errorf("%v, want a trace of 3 steps", r)
	}
	again := searchCounters(c, 1000, 7)
	if !reflect.DeepEqual(again.Trace, r.Trace) || again.States != r.States {
		t.Errorf("on 7 goroutines: %v, on one: %v", again, r)
	}
}

func TestSearchReportsWhatIsMissingAtTheEnd(t *testing.T) {
	r := searchCounters(counters{limit: 4, forbidden: neverForbidden, missing: errors.New("ended")}, 1000, 2)
	if r.Err == nil || r.Trace[len(r.Trace)-1] != endOfTrace {
		t.Error(r)
	}
}

func TestSearchReportsAPanic(t *testing.T) {
	r := searchCounters(counters{limit: 4, forbidden: neverForbidden, panicAt: 2}, 1000, 2)
	if r.Err == nil || r.Err.Error() != "panic: too high" || len(r.Trace) != 2 {
		t.Error(r)
	}
}

func TestSearchStopsWhereTheScopeIsTooLarge(t *testing.T) {
	r := searchCounters(counters{limit: 40, forbidden: neverForbidden}, 100, 2)
	if r.Complete || r.States != 100 {
		t.Error(r)
	}
}
