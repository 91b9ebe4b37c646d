package syntax

import (
	"bytes"
	"strings"
	"testing"

	"crankhold/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// Each invalid text has exactly the expected faults: the parser continues after a fault, and neither misses a fault nor
// reports one twice.
func TestParseReportsEachFault(t *testing.T) {
	deeplyNested := strings.Repeat("a {\n", 10000)
	for _, c := range []struct{ text, want string }{
		{"pool \"a\" {", "f:1:1: the block pool is not closed"},
		{"}", "f:1:1: unexpected closing brace: no block is open"},
		{"a = 1", "f:1:1: setting a is outside of any block"},
		{"a {\n b = \n c = 1\n}", "f:2:6: expected a value, found the end of the line"},
		{"a {\n b = 1,\n}", "f:3:1: expected a value, found }"},
		{"a {\n b = 1 2\n c = = 3\n}", "f:2:8: expected the end of the line, found 2\nf:3:6: expected a value, found ="},
		{"a {\n b 1\n}\n1 {}\nc {}", "f:2:4: expected = or {, found 1\nf:4:1: expected a block or an include, found 1"},
		{"a\n{}", "f:1:2: expected {, found the end of the line\nf:2:1: expected a block or an include, found {"},
		{"include x", "f:1:9: expected a file path in quotes, found x"},
		{"a { b = \"x }\n}", "f:1:9: a string does not end on its line"},
		{"a { b = \"x", "f:1:9: a string does not end on its line\nf:1:1: the block a is not closed"},
		{"a {\n b = \"\\q\"\n}", "f:2:6: unknown escape in a string: only \\\" \\\\ \\n and \\t are allowed"},
		{"a {\n b = \"\\q\\w\x01\"\n}", "f:2:6: unknown escape in a string: only \\\" \\\\ \\n and \\t are allowed"},
		{"#\ta comment\twith tabs", ""},
		{"a {\n é = 1\n}", "f:2:2: unexpected character 'é'"},
		{"a {\n b = 1 \xff\xff\n}", "f:2:8: byte 0xff is not UTF-8"},
		{"a {\n b = \"\xff\"\n}", "f:2:6: a string contains invalid UTF-8 or a control character"},
		{"# \x01", "f:1:3: a comment contains an invalid character"},
		{"a {}\uFEFF", "f:1:5: a byte order mark is allowed only at the start of a file"},
		{"a {\x00}", "f:1:4: control character 0x00"},
		{"a {\r}", "f:1:4: control character 0x0d"},
		{"# " + strings.Repeat("x", 5000), "f:1:1: the line is longer than 4096 bytes"},
		{"# " + strings.Repeat("x", 2000), "f:1:1: a comment is longer than 1024 bytes"},
		{"a \"" + strings.Repeat("x", 2000) + "\" {}", "f:1:3: a string is longer than 1024 bytes"},
		{strings.Repeat("x", 200) + " {}", "f:1:1: a name is longer than 128 bytes"},
		{"a { b = " + strings.Repeat("1", 200) + "\n}", "f:1:9: a number is longer than 128 bytes"},
		{deeplyNested, "f:9:1: blocks are nested more than 8 deep; the rest of the file was not read"},
		{strings.Repeat("x", 50<<20), "f:1:1: the file is larger than 4 MiB"},
	} {
		_, _, faults := Parse("f", []byte(c.text))
		if got := faults.Error(); got != c.want {
			t.Errorf("%.40q:\n%s\nwant\n%s", c.text, got, c.want)
		}
	}
	_, _, faults := Parse("f", bytes.Repeat([]byte("a b\n"), 1000))
	if len(faults) != MaxFaults+1 || !strings.Contains(faults[MaxFaults].Msg, "too many faults") {
		t.Errorf("%d faults for 1000 invalid lines", len(faults))
	}
}

// The caret of a quoted fault is under the right column, even after tabs and multi-byte characters.
func TestQuotedMarksTheColumn(t *testing.T) {
	_, _, faults := Parse("f", []byte("a {\n\tb = \"éé\" 2\n}"))
	if len(faults) != 1 {
		t.Fatal(faults)
	}
	want := "f:2:11: expected the end of the line, found 2\n\t\tb = \"éé\" 2\n\t\t         ^"
	if got := faults[0].Quoted(); got != want {
		t.Errorf("%q, want %q", got, want)
	}
	longLine := NewSource("f", []byte(strings.Repeat("é", 1000)))
	if f := longLine.FaultAt(Pos{"f", 1, 900}, "x"); len([]rune(f.Line)) > 200 {
		t.Errorf("a long line is not truncated: %d characters are quoted", len([]rune(f.Line)))
	}
}

// FuzzParse checks that the parser terminates on any input, and that formatting preserves every file without faults.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"", "a {}", "# c\nb \"x\" { # o\n c = 1, # d\n 2\n}", "include \"*\"\r\n", "a{b=\"\\\"\"}", "\uFEFFa{}", "a {\n{\n}\n}"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		tree, _, faults := Parse("fuzz", b)
		if len(faults) == 0 {
			checkFormatting(t, tree)
		}
		for _, fault := range faults {
			if !fault.Pos.Valid() || fault.Msg == "" {
				t.Fatalf("a fault without a position or a message: %+v", fault)
			}
		}
	})
}
