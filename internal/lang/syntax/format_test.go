package syntax

import (
	"testing"

	"pgregory.net/rapid"
)

// Formatting a tree of any shape loses no comment, does not change the meaning, and is idempotent.
func TestFormattingIsIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &File{Name: "random"}
		f.Entries, f.TrailingComments = drawEntries(t, 0)
		checkFormatting(t, f)
	})
}

func TestFormat(t *testing.T) {
	in := "\uFEFF\n\n# top\r\n\r\n\r\npool   \"a\" { # open\r\n\n cap=1,2 ,# one\n # two\n\n 3 # last\n\n\n x=1# y\n # tail\n} # end\nb {}\ninclude \"x\"#z"
	want := "# top\n\npool \"a\" { # open\n\tcap = 1, 2, # one\n\t\t# two\n\t\t3 # last\n\n\tx = 1 # y\n\t# tail\n} # end\nb {}\ninclude \"x\" #z\n"
	f, _, faults := Parse("f", []byte(in))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if got := string(Format(f)); got != want {
		t.Errorf("formatted:\n%s\nwant:\n%s", got, want)
	}
	checkFormatting(t, f)
}
