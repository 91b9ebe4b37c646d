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

// errorValue is the name of an exported error value.
var errorValue = regexp.MustCompile(`^Err[A-Z]\w*$`)

// Whoever is on call finds each error on one page: every error type and every exported error value of the program.
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
		t.Errorf("%d error types found; the check does not see them", errorCount)
	}
}

// packagesOutsideTheProgram are tests' and measurements' own; their errors reach no operator.
var developmentPackages = []string{
	"cmd/benchmark", "example/toy", "internal/benchmark", "internal/demo", "internal/fake", "internal/golden", "internal/modelcheck",
	"internal/simulation", "internal/testutil",
}
