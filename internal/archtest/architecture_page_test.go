package archtest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// architecturePage is the page whose import graphs and function names are checked.
const architecturePage = "docs/architecture.md"

var (
	// drawnNode matches a package in a flowchart, and drawnEdge the arrows from a package to others.
	drawnNode = regexp.MustCompile(`^\s*(\w+)\["([^"]+)"\]$`)
	drawnEdge = regexp.MustCompile(`^\s*(\w+) --> (.+)$`)
	// pageName matches a function or type in the page's notation: `router.Core.Process`.
	pageName = regexp.MustCompile("`([a-z]+)\\.([A-Z]\\w*)(?:\\.(\\w+))?`")
)

// readPage returns the text of the architecture page.
func readPage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", filepath.FromSlash(architecturePage)))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// flowchartLines returns the lines of the page's flowcharts, whose arrows are imports. Diagrams of other kinds, such as
// state diagrams, have arrows that are not imports.
func flowchartLines(page string) []string {
	var lines []string
	drawing, inFlowchart := false, false
	for line := range strings.Lines(page) {
		line = strings.TrimRight(line, "\n")
		switch {
		case line == "```mermaid":
			drawing = true
		case line == "```":
			drawing, inFlowchart = false, false
		case drawing && strings.HasPrefix(line, "flowchart "):
			inFlowchart = true
		case inFlowchart:
			lines = append(lines, line)
		}
	}
	return lines
}

// drawnImports returns the packages in the page's flowcharts, each with the packages that its arrows lead to.
func drawnImports(t *testing.T, page string) map[string][]string {
	t.Helper()
	packages := map[string]string{}
	imports := map[string][]string{}
	lines := flowchartLines(page)
	for _, line := range lines {
		if m := drawnNode.FindStringSubmatch(line); m != nil {
			packages[m[1]] = m[2]
			imports[m[2]] = []string{}
		}
	}
	for _, line := range lines {
		m := drawnEdge.FindStringSubmatch(line)
		if m == nil {
			continue
		}
		from := packages[m[1]]
		for _, id := range strings.Split(m[2], " & ") {
			if packages[id] == "" || from == "" {
				t.Errorf("%s: one end of the arrow from %q to %q is not a package", architecturePage, m[1], id)
			}
			imports[from] = append(imports[from], packages[id])
		}
	}
	for _, list := range imports {
		slices.Sort(list)
	}
	return imports
}

// moduleImports returns the module's packages, each with the packages of the module that its non-test files import.
func moduleImports(t *testing.T) map[string][]string {
	t.Helper()
	root := filepath.Join("..", "..")
	found := map[string][]string{}
	err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(name, ".go") {
			return err
		}
		relative, err := filepath.Rel(root, filepath.Dir(name))
		if err != nil {
			return err
		}
		dir := filepath.ToSlash(relative)
		if found[dir] == nil {
			found[dir] = []string{}
		}
		if strings.HasSuffix(name, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			packageDir, ok := strings.CutPrefix(strings.Trim(spec.Path.Value, `"`), module)
			if ok && !slices.Contains(found[dir], packageDir) {
				found[dir] = append(found[dir], packageDir)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, list := range found {
		slices.Sort(list)
	}
	return found
}

// The flowcharts show every package and exactly the imports in the code. A reader can conclude from a missing arrow
// that there is no import.
func TestDrawingsShowTheImports(t *testing.T) {
	if diff := cmp.Diff(moduleImports(t), drawnImports(t, readPage(t))); diff != "" {
		t.Errorf("%s and the packages' imports differ (-imports +flowcharts):\n%s", architecturePage, diff)
	}
}

// The functions and types that the page names are declared, so that a reader can follow its step-by-step descriptions
// in the code.
func TestNamesOnThePageExist(t *testing.T) {
	names := pageName.FindAllStringSubmatch(readPage(t), -1)
	if len(names) < 20 {
		t.Errorf("%s names only %d functions; the path of a request alone has at least 20", architecturePage, len(names))
	}
	declared := newDeclarationIndex(t)
	for _, m := range names {
		declared.expect(t, architecturePage, strings.Trim(m[0], "`"))
	}
}

// auditPage lists each clause of the operators' pages with the code that implements it.
const auditPage = "docs/terms-audit.md"

// auditName matches a declared name in the column of auditPage that names the code for a clause.
var auditName = regexp.MustCompile("`([a-z]+\\.\\w+(?:\\.\\w+)?)`")

// The code that the audit names is declared, so that an engineer who changes it finds the clauses that depend on it.
func TestCodeNamedByTheAuditExists(t *testing.T) {
	const codeColumn = 5 // column, counted from 1
	text, err := os.ReadFile(filepath.Join("..", "..", filepath.FromSlash(auditPage)))
	if err != nil {
		t.Fatal(err)
	}
	declared := newDeclarationIndex(t)
	named := 0
	for line := range strings.Lines(string(text)) {
		cells := strings.Split(line, "|")
		if len(cells) <= codeColumn {
			continue
		}
		for _, m := range auditName.FindAllStringSubmatch(cells[codeColumn], -1) {
			named++
			declared.expect(t, auditPage, m[1])
		}
	}
	if named < 50 {
		t.Errorf("%s names code only %d times; the check does not find the names", auditPage, named)
	}
}

// declarationIndex holds the names that the module's packages declare. Folders are parsed when they are first needed.
type declarationIndex struct {
	folders  map[string]string          // by package name
	declared map[string]map[string]bool // declared names, by folder
}

func newDeclarationIndex(t *testing.T) *declarationIndex {
	t.Helper()
	index := &declarationIndex{folders: map[string]string{}, declared: map[string]map[string]bool{}}
	for dir := range moduleImports(t) {
		index.folders[path.Base(dir)] = dir
	}
	return index
}

// expect reports an error unless a name on a page is declared. Names are in the form package.Type.member.
func (idx *declarationIndex) expect(t *testing.T, page, name string) {
	t.Helper()
	packageName, declaration, _ := strings.Cut(name, ".")
	folder, ok := idx.folders[packageName]
	if !ok {
		t.Errorf("%s: %s does not start with the name of a package", page, name)
		return
	}
	if idx.declared[folder] == nil {
		idx.declared[folder] = declarations(t, folder)
	}
	if !idx.declared[folder][declaration] {
		t.Errorf("%s: %s is not declared in %s", page, name, folder)
	}
}

// declarations returns the names that a package's non-test files declare: functions, types, variables and constants,
// and methods and fields in the form Type.member.
func declarations(t *testing.T, folder string) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	files, err := filepath.Glob(filepath.Join("..", "..", filepath.FromSlash(folder), "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, declaration := range file.Decls {
			declare(names, declaration)
		}
	}
	return names
}

// declare adds the names of one declaration.
func declare(names map[string]bool, declaration ast.Decl) {
	switch d := declaration.(type) {
	case *ast.FuncDecl:
		names[receiver(d)+d.Name.Name] = true
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			switch s := spec.(type) {
			case *ast.TypeSpec:
				names[s.Name.Name] = true
				declareMembers(names, s)
			case *ast.ValueSpec:
				for _, name := range s.Names {
					names[name.Name] = true
				}
			}
		}
	}
}

// declareMembers adds the fields or the methods of a struct or an interface.
func declareMembers(names map[string]bool, spec *ast.TypeSpec) {
	var members *ast.FieldList
	switch typ := spec.Type.(type) {
	case *ast.StructType:
		members = typ.Fields
	case *ast.InterfaceType:
		members = typ.Methods
	default:
		return
	}
	for _, member := range members.List {
		for _, name := range member.Names {
			names[spec.Name.Name+"."+name.Name] = true
		}
	}
}

// receiver returns the name of a method's receiver type and a dot, or an empty string for a function.
func receiver(d *ast.FuncDecl) string {
	if d.Recv == nil || len(d.Recv.List) == 0 {
		return ""
	}
	typ := d.Recv.List[0].Type
	if star, ok := typ.(*ast.StarExpr); ok {
		typ = star.X
	}
	if generic, ok := typ.(*ast.IndexExpr); ok {
		typ = generic.X
	}
	name, ok := typ.(*ast.Ident)
	if !ok {
		return ""
	}
	return name.Name + "."
}

// testName matches the name of a test on a page.
var testName = regexp.MustCompile("`(Test[A-Z]\\w+)")

// The pages name the tests that check their promises. A test that was renamed or deleted must not be named any more.
func TestTestsNamedOnPagesExist(t *testing.T) {
	root := filepath.Join("..", "..")
	var pages []string
	for _, pattern := range []string{"docs/*.md", "docs/*/*.md"} {
		found, err := filepath.Glob(filepath.Join(root, filepath.FromSlash(pattern)))
		if err != nil {
			t.Fatal(err)
		}
		pages = append(pages, found...)
	}
	tests := testFunctions(t, root)
	named := 0
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range testName.FindAllStringSubmatch(string(text), -1) {
			named++
			if !tests[m[1]] {
				t.Errorf("%s names %s, which is not a test", filepath.Base(page), m[1])
			}
		}
	}
	if named < 20 {
		t.Errorf("only %d tests are named on the pages; the check does not find the names", named)
	}
}

// testFunctions returns the names of the functions in all test files.
func testFunctions(t *testing.T, root string) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(name, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			return err
		}
		for _, declaration := range file.Decls {
			if function, ok := declaration.(*ast.FuncDecl); ok {
				names[function.Name.Name] = true
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}
