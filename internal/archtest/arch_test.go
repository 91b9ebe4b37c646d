package archtest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const module = "crankhold/"

// pure are the packages that decide. They may import each other, and of the standard library what is listed.
var pure = map[string]bool{"policy": true, "internal/route": true, "internal/lang/syntax": true, "internal/endpoint": true,
	"internal/stats": true}

// harmless is what of the standard library does no I/O and reads no clock by itself; time is for its types, and
// its functions that read the clock are looked for by name.
var harmless = []string{"bytes", "cmp", "container/heap", "encoding/binary", "errors", "fmt", "iter", "maps", "math", "math/bits",
	"math/rand/v2", "slices", "sort", "strconv", "strings", "time", "unicode", "unicode/utf8", "net/netip"}

// wires are what the core and the decisions may not know of.
var wires = []string{"internal/eventloop", "internal/thrift", "internal/webhook", "internal/workerclient", "internal/discovery", "internal/ipfix",
	"internal/simulator", "internal/server", "internal/config", "internal/command"}

// imports returns what the non-test files of a package import, and where they read the clock or print.
func imports(t *testing.T, dir string) (list, clock []string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", "..", dir, "*.go"))
	if err != nil || len(files) == 0 {
		t.Fatalf("%s: no files, %v", dir, err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		set := token.NewFileSet()
		f, err := parser.ParseFile(set, name, text, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range f.Imports {
			path, _ := strconv.Unquote(s.Path.Value)
			list = append(list, path)
		}
		ast.Inspect(f, func(n ast.Node) bool {
			if s, ok := n.(*ast.SelectorExpr); ok {
				if x, ok := s.X.(*ast.Ident); ok {
					switch x.Name + "." + s.Sel.Name {
					case "time.Now", "time.Since", "time.Until", "time.Sleep", "time.After", "time.AfterFunc", "time.Tick", "time.NewTimer",
						"time.NewTicker", "fmt.Print", "fmt.Println", "fmt.Printf", "fmt.Scan", "fmt.Scanln", "fmt.Scanf",
						"rand.Int", "rand.IntN", "rand.Float64", "rand.Uint64", "rand.Shuffle", "rand.Perm", "rand.N":
						clock = append(clock, set.Position(s.Pos()).String()+" "+s.Sel.Name)
					}
				}
			}
			return true
		})
	}
	return list, clock
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// Guards the decisions against I/O, clocks, shared random numbers and wires, by whatever package.
func TestDecisionsArePure(t *testing.T) {
	for dir := range pure {
		list, clock := imports(t, dir)
		if len(clock) > 0 {
			t.Errorf("%s reads a clock, prints, or draws from the shared random source: %v", dir, clock)
		}
		for _, path := range list {
			if own, ok := strings.CutPrefix(path, module); ok && pure[own] || contains(harmless, path) {
				continue
			}
			t.Errorf("%s imports %s", dir, path)
		}
	}
}

// Guards the core: it knows decisions, and neither wires nor what runs them.
func TestTheCoreKnowsNoWire(t *testing.T) {
	for _, dir := range []string{"internal/router", "internal/lang", "internal/route", "policy"} {
		list, clock := imports(t, dir)
		if len(clock) > 0 {
			t.Errorf("%s reads a clock: %v", dir, clock)
		}
		for _, path := range list {
			if own, ok := strings.CutPrefix(path, module); ok && contains(wires, own) {
				t.Errorf("%s imports %s", dir, path)
			}
			if path == "net" || path == "os" || path == "net/http" || strings.Contains(path, "nbio") {
				t.Errorf("%s imports %s", dir, path)
			}
		}
	}
}

// Guards main: it wires.
func TestMainOnlyWires(t *testing.T) {
	list, _ := imports(t, "cmd/crankhold")
	for _, path := range list {
		if path != "os" && path != module+"internal/command" {
			t.Errorf("cmd/crankhold imports %s", path)
		}
	}
}
