// Package modelcheck is a small explicit-state model checker. It runs real code over every interleaving of what may
// happen to it within a small scope, and stops at the first state that breaks a property, with the shortest trace to
// it.
//
// A test describes the code and the world around it as a [System] and gives [Search] a function that returns a new one.
// Real code can't be copied half way, so a state is reached by running its steps again from the start. States with
// equal keys are followed up once.
//
// The package imports the standard library alone; tests use it.
package modelcheck
