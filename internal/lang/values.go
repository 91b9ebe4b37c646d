package lang

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"crankhold/internal/lang/syntax"
)

// value is a value that has been read as its setting wants it.
type value struct {
	pos      syntax.Pos
	text     string
	count    int
	duration time.Duration
	number   float64 // a share as a fraction, a rate per second, memory in MB
	isRate   bool    // of a setting that takes a share or a rate: it is a rate
}

// valueReader says how a setting's values are read; it returns what is wrong with one, or "".
type valueReader func(v syntax.Value) (value, string)

// readText takes a string.
func readText(v syntax.Value) (value, string) {
	s := value{pos: v.At, text: v.Text()}
	switch {
	case v.Kind != syntax.StringValue:
		return s, fmt.Sprintf("takes a string in quotes, found %s", v.Raw)
	case s.text == "":
		return s, "can't be empty"
	case strings.TrimSpace(s.text) != s.text || strings.ContainsAny(s.text, "\n\t"):
		return s, "can't begin or end with a space, or hold a line break or a tab"
	}
	return s, ""
}

// readOneOf takes one of some words.
func readOneOf(words ...string) valueReader {
	return func(v syntax.Value) (value, string) {
		for _, w := range words {
			if v.Kind == syntax.WordValue && v.Raw == w {
				return value{pos: v.At, text: w}, ""
			}
		}
		return value{}, fmt.Sprintf("takes %s, found %s%s", strings.Join(words, " or "), v.Raw, suggest(v.Text(), words))
	}
}

// maxCount is the most that a count may be.
const maxCount = 1_000_000

// readCount takes a whole number from least on.
func readCount(least int) valueReader {
	return func(v syntax.Value) (value, string) {
		n, unit, wrong := splitQuantity(v)
		switch {
		case wrong != "":
			return value{}, wrong
		case unit != "" || n != math.Trunc(n):
			return value{}, fmt.Sprintf("takes a whole number without a unit, found %s", v.Raw)
		case n < float64(least):
			return value{}, fmt.Sprintf("must be %d or more, found %s", least, v.Raw)
		case n > maxCount:
			return value{}, fmt.Sprintf("is too large: %s, at most %d", v.Raw, maxCount)
		}
		return value{pos: v.At, count: int(n)}, ""
	}
}

var timeUnits = []unit{{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"m", 60e6}, {"h", 3600e6}}

// maxDuration is the longest time that a setting may say.
const maxDuration = 24 * time.Hour

// readDuration takes a time above zero, in whole microseconds.
func readDuration(v syntax.Value) (value, string) {
	us, wrong := readScaled(v, "a time", timeUnits)
	switch {
	case wrong != "":
		return value{}, wrong
	case us == 0:
		return value{}, "must be above zero"
	case us > float64(maxDuration/time.Microsecond):
		return value{}, fmt.Sprintf("is too long: %s, at most 24h", v.Raw)
	case math.Abs(us-math.Round(us)) > 1e-6:
		return value{}, fmt.Sprintf("is finer than a microsecond: %s", v.Raw)
	}
	return value{pos: v.At, duration: time.Duration(math.Round(us)) * time.Microsecond}, ""
}

var memoryUnits = []unit{{"KB", 1e-3}, {"MB", 1}, {"GB", 1e3}, {"KiB", 1024e-6}, {"MiB", 1.048576}, {"GiB", 1073.741824}}

// readMemory takes an amount of readMemory.
func readMemory(v syntax.Value) (value, string) {
	mb, wrong := readScaled(v, "an amount of memory", memoryUnits)
	switch {
	case wrong != "":
		return value{}, wrong
	case mb == 0:
		return value{}, "must be above zero"
	case mb > 1e9:
		return value{}, fmt.Sprintf("is too large: %s, at most 1000000GB", v.Raw)
	}
	return value{pos: v.At, number: mb}, ""
}

// readShare takes a part of a whole, from 0% to 100%.
func readShare(v syntax.Value) (value, string) {
	n, wrong := readScaled(v, "a share", []unit{{"%", 0.01}})
	if wrong == "" && n > 1 {
		wrong = fmt.Sprintf("is more than the whole: %s", v.Raw)
	}
	return value{pos: v.At, number: n}, wrong
}

// readShareOrRate takes a share, or calls a time.
func readShareOrRate(v syntax.Value) (value, string) {
	_, unitName, wrong := splitQuantity(v)
	switch {
	case wrong != "":
		return value{}, wrong
	case unitName == "%":
		return readShare(v)
	case !strings.HasPrefix(unitName, "/"):
		return value{}, fmt.Sprintf("takes a share (30%%) or a rate (120/s, 120/m, 120/h), found %s", v.Raw)
	}
	n, wrong := readScaled(v, "a rate", []unit{{"/s", 1}, {"/m", 1. / 60}, {"/h", 1. / 3600}})
	if wrong == "" && n > 1e6 {
		wrong = fmt.Sprintf("is too large: %s, at most 1000000/s", v.Raw)
	}
	return value{pos: v.At, number: n, isRate: true}, wrong
}

type unit struct {
	name   string
	factor float64
}

// readScaled reads a number with one of some units.
func readScaled(v syntax.Value, what string, units []unit) (float64, string) {
	var names []string
	for _, u := range units {
		names = append(names, u.name)
	}
	n, name, wrong := splitQuantity(v)
	if wrong != "" {
		return 0, wrong
	}
	if name == "" {
		return 0, fmt.Sprintf("takes %s with its unit (%s), found %s", what, strings.Join(names, ", "), v.Raw)
	}
	for _, u := range units {
		if u.name == name {
			return n * u.factor, ""
		}
	}
	return 0, fmt.Sprintf("takes %s (%s), and %s has the unit %q%s", what, strings.Join(names, ", "), v.Raw, name, suggest(name, names))
}

// splitQuantity parts a number from its unit.
func splitQuantity(v syntax.Value) (n float64, unit, wrong string) {
	if v.Kind != syntax.QuantityValue {
		return 0, "", fmt.Sprintf("takes a number, found %s", v.Raw)
	}
	raw := v.Raw
	switch raw[0] {
	case '-':
		return 0, "", fmt.Sprintf("can't be negative: %s", raw)
	case '+':
		return 0, "", fmt.Sprintf("takes a number without a sign, found %s", raw)
	}
	end := strings.IndexFunc(raw, func(r rune) bool { return r != '.' && (r < '0' || r > '9') })
	if end < 0 {
		end = len(raw)
	}
	digits, unit := raw[:end], raw[end:]
	if strings.ContainsAny(unit, "0123456789.") {
		return 0, "", fmt.Sprintf("takes one number and one unit, found %s", raw)
	}
	whole, part, dot := strings.Cut(digits, ".")
	n, err := strconv.ParseFloat(digits, 64)
	if err != nil || dot && (part == "" || strings.Contains(part, ".")) || len(whole) > 1 && whole[0] == '0' {
		return 0, "", fmt.Sprintf("takes a number such as 12 or 1.5, found %s", raw)
	}
	if n > 1e15 || len(digits) > 30 {
		return 0, "", fmt.Sprintf("is too large: %.30s", raw)
	}
	return n, unit, ""
}

// suggest words the name that is nearest to a mistyped one, where one is near.
func suggest(name string, known []string) string {
	best, at := 1+len(name)/3, ""
	for _, k := range known {
		if d := editDistance(strings.ToLower(name), strings.ToLower(k), best+1); d <= best && (at == "" || d < best) {
			best, at = d, k
		}
	}
	if at == "" || at == name {
		return ""
	}
	return fmt.Sprintf("; did you mean %s?", at)
}

// editDistance is how many characters must be put in, taken out, replaced or swapped with the next to make b of
// a, or a number of most or more.
func editDistance(a, b string, most int) int {
	if len(a)-len(b) >= most || len(b)-len(a) >= most {
		return most
	}
	var before, last []int
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		before, last, row = last, row, make([]int, len(b)+1)
		row[0] = i + 1
		for j := range len(b) {
			d := last[j]
			if a[i] != b[j] {
				d++
			}
			d = min(d, last[j+1]+1, row[j]+1)
			if i > 0 && j > 0 && a[i] == b[j-1] && a[i-1] == b[j] {
				d = min(d, before[j-1]+1)
			}
			row[j+1] = d
		}
	}
	return row[len(b)]
}
