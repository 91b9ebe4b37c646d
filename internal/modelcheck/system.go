package modelcheck

import (
	"fmt"
	"strings"
)

// System is a run of the code under test with the world around it. The same steps must always lead to the same state.
type System interface {
	// Steps names what may happen next, always in the same order.
	Steps() []string
	// Do makes one of the steps happen, by its index in Steps.
	Do(step int)
	// Check returns the property that does not hold now, if any.
	Check() error
	// End is called where no step is left. It returns what should have happened and has not, if anything.
	End() error
	// Key is equal for states from which the same can follow.
	Key() string
}

// endOfTrace is the last entry of a trace to a property that End found broken.
const endOfTrace = "(the end)"

// Result is what a search found.
type Result struct {
	States      int // with different keys
	Transitions int
	Depth       int      // steps of the longest trace
	Whole       bool     // all states within the scope were seen
	Trace       []string // the shortest trace to a broken property
	Err         error    // the broken property, or nil
}

// String returns the figures on one line, and the trace to a broken property if there is one.
func (r Result) String() string {
	s := fmt.Sprintf("states=%d transitions=%d depth=%d whole=%v", r.States, r.Transitions, r.Depth, r.Whole)
	if r.Err != nil {
		s += fmt.Sprintf("\n%v after\n  %s", r.Err, strings.Join(r.Trace, "\n  "))
	}
	return s
}
