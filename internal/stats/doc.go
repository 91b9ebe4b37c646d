// Package stats computes running estimates: several means that favour recent observations, a regression through the
// origin, a token bucket and a sliding window of times.
//
// None of them reads a clock: their callers pass the time, as an offset from any fixed point. None is safe for
// concurrent use, and the same calls always give the same results to the last bit.
package stats
