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
