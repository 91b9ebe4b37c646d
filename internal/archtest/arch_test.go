package archtest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const module = "crankhold/"

// decisionPackages make decisions and do no I/O. They may import each other and the packages of the standard library in
// purePackages.
var decisionPackages = map[string]bool{"policy": true, "internal/route": true, "internal/lang/syntax": true, "internal/endpoint": true, "internal/timerheap": true, "internal/stats": true}

// purePackages are the packages of the standard library that decisionPackages may import: they do no I/O and read no
// clock. Package time is among them because of its types; impureCalls lists its functions that read the clock.
var purePackages = []string{"bytes", "cmp", "container/heap", "container/list", "encoding/binary", "errors", "fmt", "iter", "maps", "math", "math/bits",
	"math/rand/v2", "slices", "sort", "strconv", "strings", "time", "unicode", "unicode/utf8", "net/netip"}

// transportPackages handle sockets, files or the platform. The core and decisionPackages may not import them.
var transportPackages = []string{"internal/eventloop", "internal/thrift", "internal/webhook", "internal/ledger", "internal/signature", "internal/notice", "internal/workerclient", "internal/discovery", "internal/ipfix",
	"internal/simulator", "internal/server", "internal/config", "internal/command"}

// inspectPackage returns the imports of a package's non-test files, and the impure calls in them.
func inspectPackage(t *testing.T, dir string) (imports, impure []string) {
	t.Helper()
	names, err := filepath.Glob(filepath.Join("..", "..", dir, "*.go"))
	if err != nil || len(names) == 0 {
		t.Fatalf("%s: no files, %v", dir, err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, spec := range file.Imports {
			path, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				t.Fatal(err)
			}
			imports = append(imports, path)
		}
		impure = append(impure, findImpureCalls(files, file)...)
	}
	return imports, impure
}

// impureCalls are functions that read a clock, wait, print, read input, or use the shared random source.
var impureCalls = []string{
	"time.Now", "time.Since", "time.Until", "time.Sleep", "time.After", "time.AfterFunc", "time.Tick", "time.NewTimer", "time.NewTicker",
	"fmt.Print", "fmt.Println", "fmt.Printf", "fmt.Scan", "fmt.Scanln", "fmt.Scanf",
	"rand.Int", "rand.IntN", "rand.Float64", "rand.Uint64", "rand.Shuffle", "rand.Perm", "rand.N",
}

// findImpureCalls returns the positions and names of the uses of impureCalls in a file.
func findImpureCalls(files *token.FileSet, file *ast.File) (found []string) {
	ast.Inspect(file, func(node ast.Node) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if x, ok := selector.X.(*ast.Ident); ok && slices.Contains(impureCalls, x.Name+"."+selector.Sel.Name) {
			found = append(found, files.Position(selector.Pos()).String()+" "+selector.Sel.Name)
		}
		return true
	})
	return found
}

// Equal events must lead to equal decisions. The decision packages must therefore do no I/O, read no clock, use no
// shared random source and import no transport.
func TestDecisionsArePure(t *testing.T) {
	for dir := range decisionPackages {
		imports, impure := inspectPackage(t, dir)
		if len(impure) > 0 {
			t.Errorf("%s reads a clock, prints, or uses the shared random source: %v", dir, impure)
		}
		for _, path := range imports {
			if packageDir, ok := strings.CutPrefix(path, module); ok && decisionPackages[packageDir] || slices.Contains(purePackages, path) {
				continue
			}
			t.Errorf("%s imports %s", dir, path)
		}
	}
}

// The core and the routes must not depend on transports or on the code that runs them.
func TestCoreImportsNoTransport(t *testing.T) {
	for _, dir := range []string{"internal/router", "internal/lang", "internal/route", "policy"} {
		imports, impure := inspectPackage(t, dir)
		if len(impure) > 0 {
			t.Errorf("%s makes impure calls: %v", dir, impure)
		}
		for _, path := range imports {
			if packageDir, ok := strings.CutPrefix(path, module); ok && slices.Contains(transportPackages, packageDir) {
				t.Errorf("%s imports %s", dir, path)
			}
			if path == "net" || path == "os" || path == "net/http" || strings.Contains(path, "nbio") {
				t.Errorf("%s imports %s", dir, path)
			}
		}
	}
}

// The main package does nothing but start the command line: it imports only os and internal/command.
func TestProgramOnlyStartsTheCommandLine(t *testing.T) {
	imports, _ := inspectPackage(t, "cmd/crankhold")
	for _, path := range imports {
		if path != "os" && path != module+"internal/command" {
			t.Errorf("cmd/crankhold imports %s", path)
		}
	}
}
