package router

import (
	"testing"

	"pgregory.net/rapid"
)

// ParseFunctionKey reads what hexID writes, and accepts no other text.
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
