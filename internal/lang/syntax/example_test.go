package syntax_test

import (
	"fmt"

	"crankhold/internal/lang/syntax"
)

// A file is parsed, and written in canonical form.
func ExampleFormat() {
	text := `pool   "large"{ # for the big functions
cap=40


workers { kind = "large-worker" }
}`
	file, _, faults := syntax.Parse("routes.crank", []byte(text))
	if err := faults.Err(); err != nil {
		fmt.Println(err)
		return
	}
	fmt.Printf("%s", syntax.Format(file))
	// Output:
	// pool "large" { # for the big functions
	// 	cap = 40
	//
	// 	workers {
	// 		kind = "large-worker"
	// 	}
	// }
}

// A fault has a position and quotes the line at that position.
func ExampleFault_Quoted() {
	_, _, faults := syntax.Parse("routes.crank", []byte("pool \"large\" {\n\tcap 40\n}\n"))
	for _, fault := range faults {
		fmt.Println(fault.Quoted())
	}
	// Output:
	// routes.crank:2:6: expected = or {, found 40
	// 		cap 40
	// 		    ^
}
