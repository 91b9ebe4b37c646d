package lang

import (
	"fmt"
	"math"
	"strings"
	"time"

	"crankhold/internal/lang/syntax"
)

// value is a value that has been read as its setting requires. Apart from the position, only the fields that the
// setting's valueReader uses are set.
type value struct {
	pos      syntax.Pos
	text     string
	count    int
	duration time.Duration
	number   float64 // a share as a fraction, a rate per second, memory in MB
	isRate   bool    // number is a rate; only for settings that take either a share or a rate
}

// valueReader reads and validates a value of a setting. The error is a *valueError or a *route.PatternError; its text
// continues a sentence that begins with the setting's name.
type valueReader func(raw syntax.Value) (value, error)

// valueError reports a value that its setting does not accept.
type valueError struct{ reason string }

// Error returns the reason.
func (e *valueError) Error() string { return e.reason }

func invalidValue(format string, args ...any) error {
	return &valueError{fmt.Sprintf(format, args...)}
}

// readText reads a string, which must not be empty.
func readText(raw syntax.Value) (value, error) {
	text := raw.Text()
	switch {
	case raw.Kind != syntax.StringValue:
		return value{}, invalidValue("takes a string in quotes, found %s", raw.Raw)
	case text == "":
		return value{}, invalidValue("can't be empty")
	case strings.TrimSpace(text) != text || strings.ContainsAny(text, "\n\t"):
		return value{}, invalidValue("can't begin or end with a space, or hold a line break or a tab")
	}
	return value{pos: raw.At, text: text}, nil
}

// readOneOf returns a reader that accepts the given words only.
func readOneOf(words ...string) valueReader {
	return func(raw syntax.Value) (value, error) {
		for _, word := range words {
			if raw.Kind == syntax.WordValue && raw.Raw == word {
				return value{pos: raw.At, text: word}, nil
			}
		}
		suggestion := suggest(raw.Text(), words)
		return value{}, invalidValue("takes %s, found %s%s", strings.Join(words, " or "), raw.Raw, suggestion)
	}
}

// maxCount is the largest number that readCount accepts.
const maxCount = 1_000_000

// readCount returns a reader that accepts whole numbers from minimum to maxCount.
func readCount(minimum int) valueReader {
	return func(raw syntax.Value) (value, error) {
		q, err := parseQuantity(raw)
		switch {
		case err != nil:
			return value{}, err
		case q.unit != "" || q.number != math.Trunc(q.number):
			return value{}, invalidValue("takes a whole number without a unit, found %s", raw.Raw)
		case q.number < float64(minimum):
			return value{}, invalidValue("must be %d or more, found %s", minimum, raw.Raw)
		case q.number > maxCount:
			return value{}, invalidValue("is too large: %s, at most %d", raw.Raw, maxCount)
		}
		return value{pos: raw.At, count: int(q.number)}, nil
	}
}
