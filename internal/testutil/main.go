package testutil

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// exitUsage is the exit status for flags that can't be set.
const exitUsage = 2

// rapidFlags are the settings of rapid for all packages: a fixed seed, so that runs of unchanged code have the same
// result, and no files that record failures.
var rapidFlags = []struct{ name, value string }{
	{"rapid.seed", "20261201"},
	{"rapid.nofailfile", "true"},
}

// Main runs a package's tests with a fixed seed for rapid, and exits the process. Packages whose tests use rapid call
// it from TestMain.
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
