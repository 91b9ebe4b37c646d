package lang

import "testing"

func TestSuggest(t *testing.T) {
	for _, c := range []struct{ name, known, want string }{
		{"capp", "cap", "; did you mean cap?"},
		{"pol", "pool", "; did you mean pool?"},
		{"fallbakc", "fallback", "; did you mean fallback?"},
		{"zone", "cap", ""},
		{"cap", "cap", ""},
	} {
		if got := suggest(c.name, []string{c.known}); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

func TestEditDistance(t *testing.T) {
	for _, c := range []struct {
		a, b string
		want int
	}{
		{"", "abc", 3},
		{"abc", "abc", 0},
		{"abc", "acb", 1}, // a transposition
		{"kitten", "sitting", 3},
		{"abcdefghij", "", 9}, // the limit
	} {
		if got := editDistance(c.a, c.b, 9); got != c.want {
			t.Errorf("%q to %q: %d, want %d", c.a, c.b, got, c.want)
		}
	}
}
