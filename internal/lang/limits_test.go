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
