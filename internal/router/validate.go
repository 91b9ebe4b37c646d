package router

// The limits of the numbers in a request. No worker could load a function that exceeds them, and its numbers would
// distort the decision module's estimates.
const (
	MaxMemoryMB = 1 << 20
	MaxLanes    = 1024
	MaxLoadMs   = 600_000
	MaxWaitMs   = 600_000
)

// MaxIdempotencyKeyLength is the length in bytes of the longest idempotency key that is forwarded. Keys of the platform
// have 32 digits.
const MaxIdempotencyKeyLength = 64

// functionKeyLength is the number of hex digits in a function key.
const functionKeyLength = 16

// InRange reports whether value is a number from 0 to limit. It returns false for NaN.
func InRange(value, limit float64) bool { return value >= 0 && value <= limit }

// ParseFunctionKey parses a function key or request ID of 16 lower-case hex digits. It returns false for every other
// spelling of the same number, because workers compare keys as text and load commands use this spelling.
func ParseFunctionKey(text string) (key uint64, ok bool) {
	if len(text) != functionKeyLength {
		return 0, false
	}
	for _, char := range []byte(text) {
		digit, ok := lowerHexDigit(char)
		if !ok {
			return 0, false
		}
		key = key<<4 | uint64(digit)
	}
	return key, true
}

// ValidIdempotencyKey reports whether an idempotency key can be forwarded: it must consist of hex digits of either
// case, at least one and at most MaxIdempotencyKeyLength.
func ValidIdempotencyKey(text string) bool {
	if len(text) == 0 || len(text) > MaxIdempotencyKeyLength {
		return false
	}
	for _, char := range []byte(text) {
		if !isHexDigit(char) {
			return false
		}
	}
	return true
}

// lowerHexDigit returns the value of a hex digit in lower case. It returns false for any other character.
func lowerHexDigit(char byte) (value byte, ok bool) {
	switch {
	case char >= '0' && char <= '9':
		return char - '0', true
	case char >= 'a' && char <= 'f':
		return char - 'a' + 10, true
	default:
		return 0, false
	}
}

// isHexDigit reports whether char is a hex digit of either case.
func isHexDigit(char byte) bool {
	if char >= 'A' && char <= 'F' {
		return true
	}
	_, ok := lowerHexDigit(char)
	return ok
}
