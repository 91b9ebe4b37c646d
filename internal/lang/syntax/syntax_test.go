package syntax

import (
	"bytes"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"crankhold/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// drawEntries draws what a file or a block holds, with comments and empty lines everywhere.
func drawEntries(t *rapid.T, depth int) (list []Entry, tail []Comment) {
	comments := func(name string) (cs []Comment) {
		for range rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, name) {
			cs = append(cs, Comment{drawComment(t), rapid.Bool().Draw(t, "blank")})
		}
		return cs
	}
	for range rapid.IntRange(0, 4).Draw(t, "entries") {
		trivia := Trivia{LeadingComments: comments("lead"), BlankBefore: rapid.Bool().Draw(t, "blank")}
		if rapid.Bool().Draw(t, "trail") {
			trivia.LineComment = drawComment(t)
		}
		what := rapid.IntRange(0, 3).Draw(t, "what")
		switch {
		case depth == 0 && what == 0:
			list = append(list, &Include{Trivia: trivia, Path: drawValue(t, StringValue)})
		case depth > 0 && what < 3 || depth >= 4:
			s := &Setting{Trivia: trivia, Name: drawWord(t)}
			for i := range rapid.IntRange(1, 12).Draw(t, "values") {
				v := drawValue(t, ValueKind(rapid.IntRange(0, 2).Draw(t, "kind")))
				if v.startsLine = i > 0 && rapid.IntRange(0, 3).Draw(t, "fresh") == 0; v.startsLine {
					v.leadingComments = comments("in list")
					for j := range v.leadingComments {
						v.leadingComments[j].BlankBefore = false
					}
				}
				s.Values = append(s.Values, v)
			}
			for i := range s.Values[1:] {
				if s.Values[i+1].startsLine && rapid.Bool().Draw(t, "value trail") {
					s.Values[i].lineComment = drawComment(t)
				}
			}
			list = append(list, s)
		default:
			b := &Block{Trivia: trivia, Word: drawWord(t)}
			if rapid.Bool().Draw(t, "label") {
				v := drawValue(t, StringValue)
				b.Label = &v
			}
			if rapid.Bool().Draw(t, "open") {
				b.OpenComment = drawComment(t)
			}
			b.Entries, b.TrailingComments = drawEntries(t, depth+1)
			list = append(list, b)
		}
	}
	return list, comments("tail")
}

func drawWord(t *rapid.T) string {
	w := rapid.StringMatching(`[a-z][a-z0-9-]{0,12}`).Draw(t, "word")
	if w == "include" {
		return "included"
	}
	return w
}

func drawComment(t *rapid.T) string {
	return strings.TrimRight(rapid.StringMatching(`#[ -~é]{0,20}`).Draw(t, "comment"), " ")
}

func drawValue(t *rapid.T, k ValueKind) Value {
	switch k {
	case StringValue:
		return Value{Kind: k, Raw: Quote(rapid.StringMatching(`[ -~é\n\t]{0,30}`).Draw(t, "string"))}
	case QuantityValue:
		return Value{Kind: k, Raw: rapid.StringMatching(`[0-9]{1,3}(\.[0-9])?(ms|s|%|/s|MiB)?`).Draw(t, "quantity")}
	}
	return Value{Kind: k, Raw: drawWord(t)}
}

// Guards the formatter on trees of any shape: it loses no comment, changes no meaning, and is stable.
func TestFormattingIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &File{Name: "random"}
		f.Entries, f.TrailingComments = drawEntries(t, 0)
		checkStable(t, f)
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
	checkStable(t, f)
}

// Every broken text gets exactly these faults: none is missed, none told twice, and what follows is read on.
func TestParseReportsEachFault(t *testing.T) {
	deep := strings.Repeat("a {\n", 10000)
	for _, c := range []struct{ text, want string }{
		{"pool \"a\" {", "f:1:1: the block pool is not closed"},
		{"}", "f:1:1: a closing brace with no block to close"},
		{"a = 1", "f:1:1: a setting stands in a block: a is outside of any"},
		{"a {\n b = \n c = 1\n}", "f:2:6: expected a value, found the end of the line"},
		{"a {\n b = 1,\n}", "f:3:1: expected a value, found }"},
		{"a {\n b = 1 2\n c = = 3\n}", "f:2:8: expected the end of the line, found 2\nf:3:6: expected a value, found ="},
		{"a {\n b 1\n}\n1 {}\nc {}", "f:2:4: expected = or {, found 1\nf:4:1: expected a block or an include, found 1"},
		{"a\n{}", "f:1:2: expected {, found the end of the line\nf:2:1: expected a block or an include, found {"},
		{"include x", "f:1:9: expected the path of a file in quotes, found x"},
		{"a { b = \"x }\n}", "f:1:9: a string does not end on its line"},
		{"a { b = \"x", "f:1:9: a string does not end on its line\nf:1:1: the block a is not closed"},
		{"a {\n b = \"\\q\"\n}", "f:2:6: a string holds an unknown escape: \\\" \\\\ \\n and \\t are known"},
		{"a {\n é = 1\n}", "f:2:2: unexpected character 'é'"},
		{"a {\n b = 1 \xff\xff\n}", "f:2:8: byte 0xff is not UTF-8"},
		{"a {\n b = \"\xff\"\n}", "f:2:6: a string holds a byte that is no text"},
		{"# \x01", "f:1:3: a comment holds a byte that is no text"},
		{"a {}\uFEFF", "f:1:5: a byte order mark may only begin a file"},
		{"a {\x00}", "f:1:4: control character 0x00"},
		{"a {\r}", "f:1:4: control character 0x0d"},
		{"# " + strings.Repeat("x", 5000), "f:1:1: the line is longer than 4096 bytes"},
		{"# " + strings.Repeat("x", 2000), "f:1:1: a comment is longer than 1024 bytes"},
		{"a \"" + strings.Repeat("x", 2000) + "\" {}", "f:1:3: a string is longer than 1024 bytes"},
		{strings.Repeat("x", 200) + " {}", "f:1:1: a name is longer than 128 bytes"},
		{"a { b = " + strings.Repeat("1", 200) + "\n}", "f:1:9: a number is longer than 128 bytes"},
		{deep, "f:9:1: blocks are nested more than 8 deep; the rest of the file was not read"},
		{strings.Repeat("x", 50<<20), "f:1:1: the file is larger than 4 MiB"},
	} {
		_, _, faults := Parse("f", []byte(c.text))
		if got := faults.Error(); got != c.want {
			t.Errorf("%.40q:\n%s\nwant\n%s", c.text, got, c.want)
		}
	}
	_, _, faults := Parse("f", bytes.Repeat([]byte("a b\n"), 1000))
	if len(faults) != MaxFaults+1 || !strings.Contains(faults[MaxFaults].Msg, "too many faults") {
		t.Errorf("%d faults of 1000 bad lines", len(faults))
	}
}

// Guards the reader of messages: the mark stands under the column, tabs and wide characters before it or not.
func TestQuotedMarksTheColumn(t *testing.T) {
	_, _, faults := Parse("f", []byte("a {\n\tb = \"éé\" 2\n}"))
	if len(faults) != 1 {
		t.Fatal(faults)
	}
	want := "f:2:11: expected the end of the line, found 2\n\t\tb = \"éé\" 2\n\t\t         ^"
	if got := faults[0].Quoted(); got != want {
		t.Errorf("%q, want %q", got, want)
	}
	long := NewSource("f", []byte(strings.Repeat("é", 1000)))
	if f := long.Fault(Pos{"f", 1, 900}, "x"); len([]rune(f.Line)) > 200 {
		t.Errorf("a long line is quoted whole: %d characters", len([]rune(f.Line)))
	}
}

// FuzzParse guards the parser against any bytes: it ends, and what it reads without a fault is stable.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"", "a {}", "# c\nb \"x\" { # o\n c = 1, # d\n 2\n}", "include \"*\"\r\n", "a{b=\"\\\"\"}", "\uFEFFa{}", "a {\n{\n}\n}"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		tree, _, faults := Parse("fuzz", b)
		if len(faults) == 0 {
			checkStable(t, tree)
		}
		for _, x := range faults {
			if !x.Pos.Valid() || x.Msg == "" {
				t.Fatalf("a fault without a place: %+v", x)
			}
		}
	})
}
