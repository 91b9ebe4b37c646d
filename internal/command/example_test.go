package command

import (
	"bytes"
	"testing"
)

// The routes that the README sends a newcomer to are good, in the one form, and fit the example's configuration.
func TestExampleRoutesAreGood(t *testing.T) {
	const routes = "../../example/routes.crank"
	for _, args := range [][]string{
		{"check", "--platform", "../../example/config.json", routes},
		{"fmt", "--check", routes},
		{"explain", routes, "--class", "dim-level", "--function", "7f3a9c21e0b4d655"},
	} {
		var out, log bytes.Buffer
		if code := Run(args, Env{Out: &out, Err: &log, Getenv: func(string) string { return "" }}); code != 0 {
			t.Errorf("%v: status %d\n%s%s", args, code, &out, &log)
		}
	}
}
