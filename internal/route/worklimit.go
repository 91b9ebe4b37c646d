package route

import "cmp"

// defaultMaxSteps limits the work of checks if the table has no limit of its own.
const defaultMaxSteps = 4_000_000

// workLimit counts the steps of a computation that has to stop at a limit. A step takes about as long as one access to
// a map. Each stage of the computation has a limit of its own, so that a later one can complete what an earlier one has
// begun before it stopped.
type workLimit struct {
	steps   int  // of the current stage
	limit   int  // of a stage; 0: no limit
	stopped bool // an earlier stage has reached its limit
}

// newWorkLimit returns a limit for a computation that may take so many steps in some stages together; 0 is no limit.
func newWorkLimit(maxSteps, stages int) *workLimit { return &workLimit{limit: maxSteps / stages} }

// checkSteps returns the limit on the steps of one check of the table.
func (t *Table) checkSteps() int { return cmp.Or(t.maxSteps(), defaultMaxSteps) }

// add counts steps.
func (w *workLimit) add(steps int) { w.steps += steps }

// beginStage ends the current stage and begins the next one.
func (w *workLimit) beginStage() {
	w.stopped = w.incomplete()
	w.steps = 0
}

// exceeded reports whether the limit has been reached and the current stage must stop.
func (w *workLimit) exceeded() bool { return w.limit > 0 && w.steps >= w.limit }

// incomplete reports whether any stage has reached its limit.
func (w *workLimit) incomplete() bool { return w.stopped || w.exceeded() }
