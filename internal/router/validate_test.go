package router

import (
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// ParseFunctionKey accepts the text that hexID formats, and no other text.
func TestParseFunctionKeyAcceptsCanonicalTextOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.Uint64().Draw(t, "n")
		if got, ok := ParseFunctionKey(hexID(n)); !ok || got != n {
			t.Fatalf("ParseFunctionKey(%q) = %x, %v", hexID(n), got, ok)
		}
		text := rapid.StringN(0, 20, 20).Draw(t, "text")
		if got, ok := ParseFunctionKey(text); ok && hexID(got) != text {
			t.Fatalf("ParseFunctionKey(%q) = %x", text, got)
		}
	})
}

func TestParseFunctionKey(t *testing.T) {
	for _, test := range []struct {
		name, text string
		want       uint64
		wantOK     bool
	}{
		{"all digits", "0123456789abcdef", 0x0123456789abcdef, true},
		{"highest", "ffffffffffffffff", math.MaxUint64, true},
		{"upper case", "0123456789ABCDEF", 0, false},
		{"letter after f", "0123456789abcdeg", 0, false},
		{"too short", "123456789abcdef", 0, false},
		{"too long", "00123456789abcdef", 0, false},
		{"empty", "", 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got, ok := ParseFunctionKey(test.text); got != test.want || ok != test.wantOK {
				t.Errorf("ParseFunctionKey(%q) = %x, %v, want %x, %v", test.text, got, ok, test.want, test.wantOK)
			}
		})
	}
}

func TestValidIdempotencyKey(t *testing.T) {
	for _, test := range []struct {
		name, text string
		want       bool
	}{
		{"digits of both cases", "09afAF", true},
		{"longest", strings.Repeat("a", MaxIdempotencyKeyLength), true},
		{"too long", strings.Repeat("a", MaxIdempotencyKeyLength+1), false},
		{"empty", "", false},
		{"letter after f", "g", false},
		{"letter after F", "G", false},
		{"hyphen", "a-b", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := ValidIdempotencyKey(test.text); got != test.want {
				t.Errorf("ValidIdempotencyKey(%q) = %v", test.text, got)
			}
		})
	}
}

func TestInRange(t *testing.T) {
	for _, test := range []struct {
		name  string
		value float64
		want  bool
	}{
		{"zero", 0, true},
		{"limit", MaxLanes, true},
		{"above the limit", MaxLanes + 1, false},
		{"negative", -1, false},
		{"not a number", math.NaN(), false},
		{"infinite", math.Inf(1), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := InRange(test.value, MaxLanes); got != test.want {
				t.Errorf("InRange(%v, %v) = %v", test.value, MaxLanes, got)
			}
		})
	}
}
