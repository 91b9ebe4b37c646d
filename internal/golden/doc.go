// Package golden compares the output of a test with committed files, byte by byte. Only tests use it.
//
// Compare is for whole files; CompareMessages is for a list of labeled messages, one per line. Run the tests of a
// package with -update to rewrite its golden files, and review the difference before committing it.
package golden
