// Package testutil contains helpers for the tests of several packages: a fake connection, a fixed clock, a TestMain
// helper with a fixed seed, a fixed source of random bytes, and helpers for goroutines and files. Only tests use it.
// Comparisons with golden files are in package golden.
package testutil
