package command_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"crankhold/internal/command"
)

func emptyEnvironment(string) string { return "" }

// fmt prints a formatted routes file on standard output. explain without a required flag exits with status 2.
func ExampleRun() {
	dir, err := os.MkdirTemp("", "crankhold")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer os.RemoveAll(dir)
	file := filepath.Join(dir, "routes.crank")
	text := "pool \"all\" {}\nroute \"rest\" { pool=\"all\" }\n"
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		fmt.Println(err)
		return
	}
	env := command.Env{Out: os.Stdout, Err: os.Stdout, Getenv: emptyEnvironment}

	fmt.Println("status", command.Run([]string{"fmt", file}, env))
	fmt.Println("status", command.Run([]string{"explain", file, "--class=dim-level"}, env))
	// Output:
	// pool "all" {}
	// route "rest" {
	// 	pool = "all"
	// }
	// status 0
	// crankhold: missing flags: --function=STRING
	// status 2
}

// The example routes that the README refers to have no faults, are in canonical form, and match the example
// configuration.
func TestExampleRoutesAreGood(t *testing.T) {
	const routes = "../../example/routes.crank"
	for _, args := range [][]string{
		{"check", "--platform", "../../example/config.json", routes},
		{"fmt", "--check", routes},
		{"explain", routes, "--class", "dim-level", "--function", "7f3a9c21e0b4d655"},
	} {
		var stdout, stderr bytes.Buffer
		if status := command.Run(args, command.Env{Out: &stdout, Err: &stderr, Getenv: emptyEnvironment}); status != 0 {
			t.Errorf("%v: status %d\n%s%s", args, status, &stdout, &stderr)
		}
	}
}
