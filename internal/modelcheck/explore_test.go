package modelcheck

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
)

// counters is a toy: two counters that each go up to a bound; they may not be both at 2, or at any place told.
type counters struct {
	a, b, bound int
	bad         [2]int
}

func (c *counters) Steps() (list []string) {
	if c.a < c.bound {
		list = append(list, "a")
	}
	if c.b < c.bound {
		list = append(list, "b")
	}
	return list
}
func (c *counters) Do(i int) {
	if c.Steps()[i] == "a" {
		c.a++
	} else {
		c.b++
	}
}
func (c *counters) Check() error {
	if c.a == c.bad[0] && c.b == c.bad[1] {
		return errors.New("met")
	}
	return nil
}
func (c *counters) End() error {
	if c.bad[0] == -2 {
		return errors.New("ended")
	}
	return nil
}
func (c *counters) Key() string { return fmt.Sprint(c.a, c.b) }

func TestSearch(t *testing.T) {
	run := func(bound, x, y, most, goroutines int) Result {
		return Search(func() System { return &counters{bound: bound, bad: [2]int{x, y}} }, most, goroutines)
	}
	if r := run(4, -1, -1, 1000, 1); r.States != 25 || !r.Whole || r.Err != nil {
		t.Errorf("all: %v", r)
	}
	r := run(4, 2, 1, 1000, 1)
	if r.Err == nil || len(r.Trace) != 3 {
		t.Errorf("a broken property: %v, want the shortest way to it, of 3 steps", r)
	}
	if again := run(4, 2, 1, 1000, 7); !reflect.DeepEqual(again.Trace, r.Trace) || again.States != r.States {
		t.Errorf("on 7 goroutines: %v, on one: %v", again, r)
	}
	if r := run(4, -2, 0, 1000, 2); r.Err == nil || r.Trace[len(r.Trace)-1] != "(the end)" {
		t.Errorf("what is missing at the end: %v", r)
	}
	if r := run(40, -1, -1, 100, 2); r.Whole || r.States != 100 {
		t.Errorf("a scope that is too large: %v", r)
	}
}
