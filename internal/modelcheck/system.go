package modelcheck

import (
	"fmt"
	"strings"
)

// System is the code under test together with its environment. The same steps must always lead to the same state.
type System interface {
	// Steps returns the names of the possible next steps, always in the same order.
	Steps() []string
	// Do takes the step with the given index in Steps.
	Do(step int)
	// Check returns an error if a property is broken in the current state.
	Check() error
	// End is called when no step is left. It returns an error if something that should have happened has not.
	End() error
	// Key returns a text that identifies the state. States with equal keys must allow the same further steps, with the
	// same results.
	Key() string
}

// endOfTrace is the last entry of a trace if End returned the error.
const endOfTrace = "(the end)"

// Result is the result of a search.
type Result struct {
	States      int // with different keys
	Transitions int
	Depth       int      // steps of the longest trace
	Complete    bool     // whether all states within the scope were seen
	Trace       []string // the shortest trace to a broken property
	Err         error    // the broken property, or nil
}

// String returns the counts on one line, followed by the trace to the broken property if there is one.
func (r Result) String() string {
	s := fmt.Sprintf("states=%d transitions=%d depth=%d whole=%v", r.States, r.Transitions, r.Depth, r.Complete)
	if r.Err != nil {
		s += fmt.Sprintf("\n%v after\n  %s", r.Err, strings.Join(r.Trace, "\n  "))
	}
	return s
}
