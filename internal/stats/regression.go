package stats

// Regression is a line through the origin, y = slope * x, estimated as the ratio of two sums in which earlier
// observations lose weight with each later one. The zero Regression has the slope 0.
type Regression struct {
	SumX, SumY float64
}

// Observe multiplies the sums by retention, a number from 0 to 1, and adds an observation to them.
func (r *Regression) Observe(x, y, retention float64) {
	r.SumX = r.SumX*retention + x
	r.SumY = r.SumY*retention + y
}

// Predict returns y for x. Where SumX is less than minimumX, that is used in its place: few observations count for
// little.
func (r *Regression) Predict(x, minimumX float64) float64 {
	return x * r.SumY / max(r.SumX, minimumX)
}
