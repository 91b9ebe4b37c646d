package endpoint

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Names are the same to DNS if they differ in the case of ASCII letters alone (RFC 4343): no other letter has a case.
func TestNamesAreComparedAsDNSComparesThem(t *testing.T) {
	for _, test := range []struct {
		a, b string
		want bool
	}{
		{"dc1", "DC1", true},
		{"s-00C41F7A", "S-00c41f7a", true},
		{"", "", true},
		{"dc1", "dc2", false},
		{"é", "É", false},
		{"k", "\u212a", false}, // the Kelvin sign, whose lower case is k in Unicode
		{"\xff", "\xfe", false},
		{"[", "{", false}, // differ by the bit that tells the cases of letters apart
	} {
		if got := SameName(test.a, test.b); got != test.want {
			t.Errorf("%q and %q: same name: %v, want %v", test.a, test.b, got, test.want)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		name := string(rapid.SliceOfN(rapid.Byte(), 0, 12).Draw(t, "name"))
		key := KeyOf(name)
		if len(key) != len(name) || KeyOf(string(key)) != key || !SameName(name, string(key)) || strings.ContainsAny(string(key), "ABCDEFGHIJKLMNOPQRSTUVWXYZ") {
			t.Fatalf("key of %q: %q", name, key)
		}
	})
}
