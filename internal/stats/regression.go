package stats

// Regression is a line through the origin, y = slope * x, estimated as the ratio of two sums in which earlier
// observations lose weight with each later one. The zero Regression has the slope 0.
type Regression struct {
	SumX float64 // decayed
	SumY float64 // decayed
}

// Observe multiplies the sums by retention, a number from 0 to 1, and adds an observation to them.
func (r *Regression) Observe(x, y, retention float64) {
	r.SumX = r.SumX*retention + x
	r.SumY = r.SumY*retention + y
}

// Predict returns y for x. The slope is that of SumY over at least minimumX, so that few observations give a small
// slope.
func (r *Regression) Predict(x, minimumX float64) float64 {
	return x * r.SumY / max(r.SumX, minimumX)
}
