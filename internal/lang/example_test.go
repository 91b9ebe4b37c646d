package lang_test

import (
	"fmt"
	"testing/fstest"

	"crankhold/internal/lang"
)

// A file with two mistakes is checked. All faults are reported at once, each with its position.
func ExampleCheck() {
	files := fstest.MapFS{"routes.crank": {Mode: 0o644, Data: []byte(`pool "large" {
	workers { kind = "large-worker" }
	capp = 40
}
route "lamps" {
	class = "dim-level"
	pool = "larg"
}
`)}}
	result, err := lang.Check(files, "routes.crank", "deploy", nil)
	if err != nil {
		fmt.Println(err) // the file can't be read at all
		return
	}
	for _, fault := range result.Faults {
		fmt.Println(fault)
	}
	// Output:
	// deploy/routes.crank:3:2: unknown setting capp in pool; did you mean cap?
	// deploy/routes.crank:7:9: no pool "larg"; did you mean large?
}

// A configuration is compared with the one that will replace it.
func ExampleDiff() {
	check := func(text string) *lang.Result {
		files := fstest.MapFS{"routes.crank": {Mode: 0o644, Data: []byte(text)}}
		result, err := lang.Check(files, "routes.crank", "", nil)
		if err != nil {
			panic(err)
		}
		return result
	}
	inForce := check(`
pool "all" {}
route "every" { pool = "all" }
`)
	updated := check(`
policy "two" { attempts = 2 }
pool "all" {}
route "every" { pool = "all" }
route "orders" {
	class = "repair-order"
	pool = "all"
	policy = "two"
}
`)
	changes, err := lang.Diff(inForce, updated)
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, change := range changes {
		fmt.Println(change.Subject())
		fmt.Printf("  - %s (%s)\n", change.Before, change.BeforeAt)
		fmt.Printf("  + %s (%s)\n", change.After, change.AfterAt)
	}
	// Output:
	// calls of class repair-order
	//   - pool all, again-if-ran 0 (routes.crank:3)
	//   + pool all, attempts 2, again-if-ran 0 (routes.crank:5)
}
