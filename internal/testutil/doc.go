// Package testutil is what the tests of several packages share: a fake connection, a clock that stands still, a test
// main with a fixed seed, and checks of goroutines and files. Only tests use it. Comparisons with golden files are in
// package golden.
package testutil
