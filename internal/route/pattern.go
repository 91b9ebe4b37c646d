package route

import (
	"cmp"
	"fmt"
	"strings"
)

// A function is identified by a 64-bit key, which is written in hex digits.
const (
	functionDigits = 16
	bitsPerDigit   = 4
	functionBits   = functionDigits * bitsPerDigit
	hexDigits      = "0123456789abcdef"
)

// Pattern matches the functions whose keys start with a prefix of hex digits. With all 16 digits it matches one
// function.
type Pattern struct {
	Prefix uint64 // the digits in the upper bits; the other bits are 0
	Digits int    // number of digits of the prefix
}

// PatternError reports text that is not a valid pattern.
type PatternError struct {
	Text  string
	Digit rune // the character that is not a hex digit; 0: the length is invalid
}

// Error returns a message with the text and why it is not valid.
func (e *PatternError) Error() string {
	if e.Digit == 0 {
		return fmt.Sprintf("%q is not 16 hex digits, nor fewer and a star", e.Text)
	}
	return fmt.Sprintf("%q has %q, which is no hex digit in lower case", e.Text, e.Digit)
}

// ParsePattern parses 16 hex digits in lower case, or at most 15 followed by a star. The error is a *PatternError.
func ParsePattern(s string) (Pattern, error) {
	digits, star := strings.CutSuffix(s, "*")
	complete := len(digits) == functionDigits
	if star && len(digits) >= functionDigits || !star && !complete {
		return Pattern{}, &PatternError{Text: s}
	}
	var p Pattern
	for _, c := range []byte(digits) {
		digit := strings.IndexByte(hexDigits, c)
		if digit < 0 {
			return Pattern{}, &PatternError{Text: s, Digit: rune(c)}
		}
		p = p.child(digit)
	}
	return p, nil
}

// String returns the pattern as configurations write it.
func (p Pattern) String() string {
	digits := fmt.Sprintf("%016x", p.Prefix)[:p.Digits]
	if p.Digits < functionDigits {
		return digits + "*"
	}
	return digits
}

// Matches reports whether the pattern matches the function.
func (p Pattern) Matches(function uint64) bool { return function&prefixMask(p.Digits) == p.Prefix }

// within reports whether q matches every function that p matches.
func (p Pattern) within(q Pattern) bool { return p.Digits >= q.Digits && q.Matches(p.Prefix) }

// child returns the pattern with this digit appended.
func (p Pattern) child(digit int) Pattern {
	shift := functionBits - bitsPerDigit*(p.Digits+1)
	return Pattern{Prefix: p.Prefix | uint64(digit)<<shift, Digits: p.Digits + 1}
}

// prefixMask returns a mask of the first digits of a function's key.
func prefixMask(digits int) uint64 {
	return ^uint64(0) << (functionBits - bitsPerDigit*digits) // shifting by all 64 bits gives 0
}

// comparePatterns orders patterns by prefix, and of equal prefixes the one with fewer digits first.
func comparePatterns(a, b Pattern) int {
	return cmp.Or(cmp.Compare(a.Prefix, b.Prefix), cmp.Compare(a.Digits, b.Digits))
}
