package stats

// Clamp returns v within low and high, and low for what is no number.
func Clamp(v, low, high float64) float64 {
	if v >= low {
		return min(v, high)
	}
	return low
}
