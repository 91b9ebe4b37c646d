package stats

// Regression is a linear regression through the origin, y = slope * x. The slope is the ratio of two sums in which each
// observation loses weight with each later one. The zero Regression has the slope 0.
type Regression struct {
	SumX float64 // decayed sum of x
	SumY float64 // decayed sum of y
}

// Observe multiplies both sums by retention, a number from 0 to 1, and then adds an observation to them.
func (r *Regression) Observe(x, y, retention float64) {
	r.SumX = r.SumX*retention + x
	r.SumY = r.SumY*retention + y
}

// Predict returns the estimate of y for x. It divides SumY by SumX, or by minimumX if that is larger, so that few
// observations do not give a large slope.
func (r *Regression) Predict(x, minimumX float64) float64 {
	return x * r.SumY / max(r.SumX, minimumX)
}
