// Package stats computes statistics that are updated with each observation: several means in which recent observations
// weigh more, a regression through the origin, a token bucket and a sliding window of times.
//
// The package reads no clock. Callers pass the time as an offset from any fixed point. Its types are not safe for
// concurrent use. The same sequence of calls always gives the same results to the last bit.
package stats
