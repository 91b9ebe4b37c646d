package stats

// Clamp returns v limited to the range from low to high. It returns low for NaN.
func Clamp(v, low, high float64) float64 {
	if v >= low {
		return min(v, high)
	}
	return low
}
