package archtest

import (
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// errorsPage lists the errors that can reach a log or a terminal.
const errorsPage = "docs/operate/errors.md"

// errorValue matches the name of an exported error value.
var errorValue = regexp.MustCompile(`^Err[A-Z]\w*$`)

// The page lists every error type and every exported error value of the program, so that an engineer on call finds each
// error on one page.
func TestErrorsPageListsEveryErrorType(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", filepath.FromSlash(errorsPage)))
	if err != nil {
		t.Fatal(err)
	}
	errorCount := 0
	for dir := range moduleImports(t) {
		if slices.Contains(developmentPackages, dir) {
			continue
		}
		for name := range declarations(t, dir) {
			name, isError := strings.CutSuffix(name, ".Error")
			if !isError && !errorValue.MatchString(name) {
				continue
			}
			errorCount++
			if entry := "`" + path.Base(dir) + "." + name + "`"; !strings.Contains(string(text), entry) {
				t.Errorf("%s does not list %s", errorsPage, entry)
			}
		}
	}
	if errorCount < 10 {
		t.Errorf("only %d error types found; the check does not find them", errorCount)
	}
}

// developmentPackages are used by tests and measurements only, so their errors never reach an operator.
var developmentPackages = []string{
	"cmd/benchmark", "example/toy", "internal/benchmark", "internal/demo", "internal/fake", "internal/golden", "internal/modelcheck",
	"internal/simulation", "internal/testutil",
}
