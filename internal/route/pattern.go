package route

import (
	"cmp"
	"fmt"
	"strings"
)

// Functions are named by 64-bit keys, written as hex digits.
const (
	functionDigits = 16
	bitsPerDigit   = 4
	functionBits   = functionDigits * bitsPerDigit
	hexDigits      = "0123456789abcdef"
)

// Pattern matches the functions whose keys begin with some hex digits; with all 16 digits it matches one function.
type Pattern struct {
	Prefix uint64 // the digits in the upper bits; zero below
	Digits int
}

// PatternError reports text that is no pattern.
type PatternError struct {
	Text  string
	Digit rune // the character that is no hex digit; 0: the length is wrong
}

// Error names the text and what is wrong with it.
func (e *PatternError) Error() string {
	if e.Digit == 0 {
		return fmt.Sprintf("%q is not 16 hex digits, nor fewer and a star", e.Text)
	}
	return fmt.Sprintf("%q has %q, which is no hex digit in lower case", e.Text, e.Digit)
}

// ParsePattern reads 16 hex digits in lower case, or up to 15 and a star. The error is a *PatternError.
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

// String returns the pattern as configurations spell it.
func (p Pattern) String() string {
	digits := fmt.Sprintf("%016x", p.Prefix)[:p.Digits]
	if p.Digits < functionDigits {
		return digits + "*"
	}
	return digits
}

// Matches reports whether the function is one of p's.
func (p Pattern) Matches(function uint64) bool { return function&prefixMask(p.Digits) == p.Prefix }

// within reports whether every function of p is one of q's.
func (p Pattern) within(q Pattern) bool { return p.Digits >= q.Digits && q.Matches(p.Prefix) }

// child returns the pattern with one more digit.
func (p Pattern) child(digit int) Pattern {
	shift := functionBits - bitsPerDigit*(p.Digits+1)
	return Pattern{Prefix: p.Prefix | uint64(digit)<<shift, Digits: p.Digits + 1}
}

// parent returns the pattern with one digit less.
func (p Pattern) parent() Pattern {
	digits := p.Digits - 1
	return Pattern{Prefix: p.Prefix & prefixMask(digits), Digits: digits}
}

// prefixMask has the bits of a function's first digits set.
func prefixMask(digits int) uint64 {
	return ^uint64(0) << (functionBits - bitsPerDigit*digits) // a shift by all 64 bits gives 0
}

// comparePatterns orders patterns by prefix, shorter ones first.
func comparePatterns(a, b Pattern) int {
	return cmp.Or(cmp.Compare(a.Prefix, b.Prefix), cmp.Compare(a.Digits, b.Digits))
}
