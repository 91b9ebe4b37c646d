// Package modelcheck is a small explicit-state model checker. It runs production code through every interleaving of the
// steps that are possible within a small scope. It stops at the first state that breaks a property, and reports the
// shortest trace to that state.
//
// A test describes the code and its environment as a [System], and passes to [Search] a function that returns a new
// System. The state of running code can't be copied, so a state is reached by replaying its steps from the start.
// States with equal keys are expanded only once.
//
// The package imports only the standard library. Only tests use it.
package modelcheck
