// Package testutil is what the tests of several packages share: a fake connection, and a test main with a fixed seed.
// Only tests use it. Comparisons with golden files are in package golden.
package testutil
