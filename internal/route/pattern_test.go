package route

import (
	"fmt"
	"testing"
)

func mustParsePattern(t *testing.T, text string) Pattern {
	t.Helper()
	p, err := ParsePattern(text)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestParsePattern(t *testing.T) {
	for _, text := range []string{"*", "7*", "7f3a9c21e0b4d65*", "7f3a9c21e0b4d655", "0000000000000000"} {
		if got := mustParsePattern(t, text).String(); got != text {
			t.Errorf("%s is parsed as %s", text, got)
		}
	}
	for text, want := range map[string]PatternError{
		"":                  {Text: ""},
		"7f":                {Text: "7f"},
		"7f3a9c21e0b4d655*": {Text: "7f3a9c21e0b4d655*"},
		"7F*":               {Text: "7F*", Digit: 'F'},
	} {
		_, err := ParsePattern(text)
		if got, ok := err.(*PatternError); !ok || *got != want {
			t.Errorf("%q: error %#v, want %#v", text, err, want)
		}
	}
}

func TestPatternSetReturnsOutermostPatterns(t *testing.T) {
	var list []Pattern
	for _, text := range []string{"7*", "7f*", "7f3a*", "71*", "8*"} {
		list = append(list, mustParsePattern(t, text))
	}
	s := newPatternSet(list)
	all := func(Pattern) bool { return true }
	withoutSevenF := func(p Pattern) bool { return p != mustParsePattern(t, "7f*") }
	for _, c := range []struct {
		within string
		wanted func(Pattern) bool
		want   string
	}{
		{"*", all, "[7* 8*]"},
		{"7*", all, "[71* 7f*]"},
		{"7*", withoutSevenF, "[71* 7f3a*]"},
		{"8*", all, "[]"},
	} {
		if got := fmt.Sprint(s.outermostWithin(mustParsePattern(t, c.within), c.wanted)); got != c.want {
			t.Errorf("within %s: %s, want %s", c.within, got, c.want)
		}
	}
}
