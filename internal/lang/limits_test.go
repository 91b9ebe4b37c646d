package lang

import (
	"fmt"
	"strings"
	"testing"
	"testing/fstest"
)

// Files that are larger together than the platform allows are not read, and the fault names the file that is too much.
// Guards against a router that takes more memory than it has for a valid file.
func TestFilesAreLimitedTogether(t *testing.T) {
	route := "route \"%s\" {\n\tpool = \"p\"\n\tclass = \"%s\"\n}\n"
	files := fstest.MapFS{
		"main.crank": {Data: []byte("pool \"p\" {}\ninclude \"a.crank\"\ninclude \"b.crank\"\n")},
		"a.crank":    {Data: []byte(fmt.Sprintf(route, "a", "a") + "# " + strings.Repeat("x", 800) + "\n")},
		"b.crank":    {Data: []byte(fmt.Sprintf(route, "b", "b"))},
	}
	for maxBytes, want := range map[int]string{
		0:    "",
		2000: "",
		100:  "a.crank:1:1: with this file the routes are larger than 0 KB",
		1024: "",
		900:  "b.crank:1:1: with this file the routes are larger than 0 KB",
	} {
		r, err := Check(files, "main.crank", "", &Platform{Classes: []Class{{Name: "a"}, {Name: "b"}}, MaxFileBytes: maxBytes})
		if err != nil {
			t.Fatal(err)
		}
		if want == "" && len(r.Faults) > 0 || !strings.Contains(r.Faults.Error(), want) {
			t.Errorf("limit of %d bytes: faults %v, want %q", maxBytes, r.Faults, want)
		}
	}
}

// Blocks are counted over all files, with those within blocks, and the fault names the block that is too much. Guards
// against a valid file of many small blocks, which takes many times its size in memory while it is checked.
func TestBlocksAreLimitedTogether(t *testing.T) {
	files := fstest.MapFS{
		"main.crank": {Data: []byte("pool \"p\" {\n\tworkers { id = \"a\" }\n\tworkers { id = \"b\" }\n}\ninclude \"a.crank\"\ninclude \"b.crank\"\n")},
		"a.crank":    {Data: []byte("route \"r\" { pool = \"p\" }\n")},
		"b.crank":    {Data: []byte("worker \"a\" {\n\tlabels { rack = \"r\" }\n}\n")},
	}
	for maxBlocks, want := range map[int]string{
		0: "",
		6: "",
		5: "b.crank:2:2: with this block the routes have more than 5 blocks",
		3: "a.crank:1:1: with this block the routes have more than 3 blocks",
		2: "main.crank:3:2: with this block the routes have more than 2 blocks",
	} {
		r, err := Check(files, "main.crank", "", &Platform{Classes: []Class{{Name: "a"}}, MaxBlocks: maxBlocks})
		if err != nil {
			t.Fatal(err)
		}
		if want == "" && len(r.Faults) > 0 || !strings.HasPrefix(r.Faults.Error(), want) {
			t.Errorf("limit of %d blocks: faults %v, want %q", maxBlocks, r.Faults, want)
		}
	}
}

// A table that takes more memory than the platform allows is a fault at the route that is too much.
func TestTableIsLimited(t *testing.T) {
	files := fstest.MapFS{"main.crank": {Data: []byte("pool \"p\" {}\nroute \"r\" { pool = \"p\" }\n")}}
	r, err := Check(files, "main.crank", "", &Platform{Classes: []Class{{Name: "a"}}, MaxTableBytes: 1000})
	if err != nil {
		t.Fatal(err)
	}
	if want := `main.crank:2:1: route "r", with 1 combinations`; !strings.Contains(r.Faults.Error(), want) {
		t.Errorf("faults %v, want %q", r.Faults, want)
	}
}

// Names of workers and zones are compared as DNS compares them, those of kinds are not: what a check accepts must be
// what pools select by.
func TestNamesAreCheckedAsTheyAreCompared(t *testing.T) {
	platform := &Platform{Classes: []Class{{Name: "a"}, {Name: "b"}}, Zones: []string{"DC1"}, Kinds: []string{"std"}}
	for text, want := range map[string]string{
		"worker \"s-1\" { zone = \"dc1\" }":                                                        "",
		"worker \"s-1\" { kind = \"STD\" }":                                                        `kind "STD" is none of`,
		"worker \"s-1\" {}\nworker \"S-1\" {}":                                                     `worker "S-1" is defined twice`,
		"worker \"s-1\" { same-as = \"S-1\" }":                                                     "is the same as itself",
		"pool \"q\" { workers { zone = \"dC*\" } }\nroute \"q\" {\nclass = \"a\"\npool = \"q\"\n}": "",
		"pool \"q\" { workers { kind = \"STD\" } }\nroute \"q\" {\nclass = \"a\"\npool = \"q\"\n}": "the platform has no kind STD",
	} {
		files := fstest.MapFS{"f": {Data: []byte("pool \"p\" {}\nroute \"r\" { pool = \"p\" }\n" + text + "\n")}}
		r, err := Check(files, "f", "", platform)
		if err != nil {
			t.Fatal(err)
		}
		if want == "" && len(r.Faults) > 0 || !strings.Contains(r.Faults.Error(), want) {
			t.Errorf("%s: faults %v, want %q", text, r.Faults, want)
		}
	}
}
