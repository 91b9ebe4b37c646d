// Package golden compares what a test has produced with committed files, byte by byte. Only tests use it.
//
// Compare is for whole files; CompareMessages is for a list of labelled messages, one a line. Run the tests of a
// package with -update to write its golden files anew, and read the difference before it is committed.
package golden
