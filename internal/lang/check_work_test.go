package lang

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
	"testing/fstest"
)

// A check takes work in proportion to the file, also where each block names another one that is not there, or selects
// workers of a kind that none has. Guards against a reload that uses the router's core for a minute to find typing
// errors.
func TestCheckAllocatesInProportionToTheFile(t *testing.T) {
	for name, block := range map[string]string{
		"mistyped pools": "pool \"pool-%d\" {}\nroute \"r%d\" {\n\tfunction = \"%016x\"\n\tpool = \"pol-%d\"\n}\n",
		"pools by kind": "worker \"w-%d\" { kind = \"a\" }\nroute \"r%d\" {\n\tfunction = \"%016x\"\n\tpool = \"p%d\"\n}\n" +
			"pool \"p%d\" {\n\tworkers { kind = \"b\" }\n}\n",
		"pools by cell and memory": "worker \"w-%d\" {\n\tcell = %d\n\tmemory = 1MB\n}\nroute \"r%d\" {\n\tfunction = \"%016x\"\n\tpool = \"p%d\"\n}\n" +
			"pool \"p%d\" {\n\tworkers {\n\t\tcell = 1%08d\n\t\tmemory-at-least = 1%dMB\n\t}\n}\n",
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			allocations := func(blocks int) float64 {
				var text strings.Builder
				for i := range blocks {
					text.WriteString(numbered(block, i))
				}
				files := fstest.MapFS{"f": {Data: []byte(text.String())}}
				return testing.AllocsPerRun(1, func() {
					if _, err := Check(files, "f", "", nil); err != nil {
						t.Error(err)
					}
				}) / float64(blocks)
			}
			few := allocations(100)
			if many := allocations(1600); many > 2*few {
				t.Errorf("%.0f allocations for each of 1,600 blocks, and %.0f for each of 100", many, few)
			}
		})
	}
}

// numbered returns a text with a number in place of each verb.
func numbered(text string, number int) string {
	args := make([]any, strings.Count(text, "%"))
	for i := range args {
		args[i] = number
	}
	return fmt.Sprintf(text, args...)
}

// A chain of policies each of which is like the next one is followed without a call for each. Guards against a check
// whose stack grows with the file, up to the memory of the router.
func TestLongChainOfPoliciesTakesLittleStack(t *testing.T) {
	const policies = 20_000
	var text strings.Builder
	for i := range policies {
		fmt.Fprintf(&text, "policy \"p%d\" { like = \"p%d\" }\n", i, i+1)
	}
	fmt.Fprintf(&text, "policy \"p%d\" { attempts = 2 }\npool \"a\" {}\nroute \"r\" {\n\tpool = \"a\"\n\tpolicy = \"p0\"\n}\n", policies)
	files := fstest.MapFS{"f": {Data: []byte(text.String())}}
	grown := make(chan int64)
	go func() {
		defer debug.SetGCPercent(debug.SetGCPercent(-1)) // a collection would shrink the stack before it is measured
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		result, err := Check(files, "f", "", nil)
		runtime.ReadMemStats(&after)
		if err != nil || result.Err() != nil || result.Spec.Policies[0].MaxAttempts != 2 {
			t.Errorf("%v, %v; the first policy: %+v", err, result.Err(), result.Spec.Policies[0])
		}
		grown <- int64(after.StackInuse) - int64(before.StackInuse)
	}()
	const maxGrowth = 1 << 20
	if got := <-grown; got > maxGrowth {
		t.Errorf("the stacks have grown by %d bytes for a chain of %d policies, want at most %d", got, policies, maxGrowth)
	}
}
