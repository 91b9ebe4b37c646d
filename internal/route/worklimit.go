package route

import "cmp"

// defaultMaxSteps limits the work of checks if the table has no limit of its own.
const defaultMaxSteps = 4_000_000

// workLimit counts the steps of a computation that has to stop at a limit. A step takes about as long as one access to
// a map.
type workLimit struct {
	steps int
	limit int // 0: no limit
}

// add counts steps.
func (w *workLimit) add(steps int) { w.steps += steps }

// exceeded reports whether the limit has been reached and the computation must stop.
func (w *workLimit) exceeded() bool { return w.limit > 0 && w.steps >= w.limit }

// newWorkLimit returns the limit of one check of the table.
func (t *Table) newWorkLimit() *workLimit {
	return &workLimit{limit: cmp.Or(t.maxSteps(), defaultMaxSteps)}
}
