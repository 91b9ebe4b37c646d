package route

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
