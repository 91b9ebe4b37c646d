package testutil

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// exitUsage is the exit status for flags that can't be set.
const exitUsage = 2

// rapidFlags are rapid's settings for all packages: the same seed in each run, so that each run of unchanged code has
// the same result, and no files about failures.
var rapidFlags = []struct{ name, value string }{
	{"rapid.seed", "20261201"},
	{"rapid.nofailfile", "true"},
}

// Main runs a package's tests with a fixed seed for rapid, and exits. A package whose tests use rapid calls it from
// TestMain.
func Main(m *testing.M) {
	flag.Parse()
	for _, setting := range rapidFlags {
		if err := flag.Set(setting.name, setting.value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitUsage)
		}
	}
	os.Exit(m.Run())
}
