// Package stats holds small running estimates: several means that favour recent observations, a regression through the
// origin, a token bucket and a sliding window of times.
//
// All of them read no clock: their users pass the time, as an offset from any fixed point. None is safe for concurrent
// use, and the same calls always give the same results to the last bit.
package stats
