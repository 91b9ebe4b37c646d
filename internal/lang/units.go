package lang

import (
	"math"
	"strconv"
	"strings"
	"time"

	"crankhold/internal/lang/syntax"
)

// quantityKind is a kind of quantity, such as a time, and the units that are accepted for it.
type quantityKind struct {
	description string // for messages, with its article
	units       []unit
}

// unit is a unit of measurement and its factor to the base unit of its kind.
type unit struct {
	name   string
	factor float64
}

// The kinds of quantities.
var (
	durationKind = quantityKind{"a time", []unit{ // base unit: microsecond
		{"us", 1},
		{"ms", 1e3},
		{"s", 1e6},
		{"m", 60e6},
		{"h", 3600e6},
	}}
	memoryKind = quantityKind{"an amount of memory", []unit{ // base unit: megabyte of 10^6 bytes
		{"KB", 1e-3},
		{"MB", 1},
		{"GB", 1e3},
		{"KiB", 1024e-6},
		{"MiB", 1.048576},
		{"GiB", 1073.741824},
	}}
	shareKind = quantityKind{"a share", []unit{ // base unit: the whole, 100%
		{"%", 0.01},
	}}
	rateKind = quantityKind{"a rate", []unit{ // base unit: per second
		{"/s", 1},
		{"/m", 1. / 60},
		{"/h", 1. / 3600},
	}}
)

// The upper limits of quantities.
const (
	maxDuration = 24 * time.Hour
	maxMemoryMB = 1e9
	maxRate     = 1e6  // per second
	maxNumber   = 1e15 // in the unit that is used in the file
	maxDigits   = 30   // of a number, including its decimal point
)

// roundingTolerance is the rounding error that is allowed when a time is converted to whole microseconds.
const roundingTolerance = 1e-6

// readDuration reads a time above zero that is a whole number of microseconds.
func readDuration(raw syntax.Value) (value, error) {
	microseconds, err := durationKind.read(raw)
	switch {
	case err != nil:
		return value{}, err
	case microseconds == 0:
		return value{}, invalidValue("must be above zero")
	case microseconds > float64(maxDuration/time.Microsecond):
		return value{}, invalidValue("is too long: %s, at most 24h", raw.Raw)
	case math.Abs(microseconds-math.Round(microseconds)) > roundingTolerance:
		return value{}, invalidValue("is finer than a microsecond: %s", raw.Raw)
	}
	return value{pos: raw.At, duration: time.Duration(math.Round(microseconds)) * time.Microsecond}, nil
}

// readMemory reads an amount of memory above zero, in MB.
func readMemory(raw syntax.Value) (value, error) {
	megabytes, err := memoryKind.read(raw)
	switch {
	case err != nil:
		return value{}, err
	case megabytes == 0:
		return value{}, invalidValue("must be above zero")
	case megabytes > maxMemoryMB:
		return value{}, invalidValue("is too large: %s, at most 1000000GB", raw.Raw)
	}
	return value{pos: raw.At, number: megabytes}, nil
}

// readShare reads a share of a whole, from 0% to 100%, as a fraction.
func readShare(raw syntax.Value) (value, error) {
	share, err := shareKind.read(raw)
	switch {
	case err != nil:
		return value{}, err
	case share > 1:
		return value{}, invalidValue("is more than the whole: %s", raw.Raw)
	}
	return value{pos: raw.At, number: share}, nil
}

// readShareOrRate reads a share, as a fraction, or a rate, per second.
func readShareOrRate(raw syntax.Value) (value, error) {
	q, err := parseQuantity(raw)
	switch {
	case err != nil:
		return value{}, err
	case q.unit == "%":
		return readShare(raw)
	case !strings.HasPrefix(q.unit, "/"):
		return value{}, invalidValue("takes a share (30%%) or a rate (120/s, 120/m, 120/h), found %s", raw.Raw)
	}
	rate, err := rateKind.read(raw)
	switch {
	case err != nil:
		return value{}, err
	case rate > maxRate:
		return value{}, invalidValue("is too large: %s, at most 1000000/s", raw.Raw)
	}
	return value{pos: raw.At, number: rate, isRate: true}, nil
}

// read reads a number with a unit of this kind and returns it in the base unit.
func (k quantityKind) read(raw syntax.Value) (float64, error) {
	q, err := parseQuantity(raw)
	if err != nil {
		return 0, err
	}
	var names []string
	for _, u := range k.units {
		if u.name == q.unit {
			return q.number * u.factor, nil
		}
		names = append(names, u.name)
	}
	known := strings.Join(names, ", ")
	if q.unit == "" {
		return 0, invalidValue("takes %s with its unit (%s), found %s", k.description, known, raw.Raw)
	}
	return 0, invalidValue("takes %s (%s), and %s has the unit %q%s",
		k.description, known, raw.Raw, q.unit, suggest(q.unit, names))
}

// quantity is a number and its unit, which is "" if there is none.
type quantity struct {
	number float64
	unit   string
}

// parseQuantity separates a number from its unit.
func parseQuantity(value syntax.Value) (quantity, error) {
	raw := value.Raw
	switch {
	case value.Kind != syntax.QuantityValue:
		return quantity{}, invalidValue("takes a number, found %s", raw)
	case raw[0] == '-':
		return quantity{}, invalidValue("can't be negative: %s", raw)
	case raw[0] == '+':
		return quantity{}, invalidValue("takes a number without a sign, found %s", raw)
	}
	digits := raw[:len(raw)-len(strings.TrimLeft(raw, "0123456789."))]
	unit := raw[len(digits):]
	if strings.ContainsAny(unit, "0123456789.") {
		return quantity{}, invalidValue("takes one number and one unit, found %s", raw)
	}
	number, err := strconv.ParseFloat(digits, 64)
	if err != nil || !isPlainNumber(digits) {
		return quantity{}, invalidValue("takes a number such as 12 or 1.5, found %s", raw)
	}
	if number > maxNumber || len(digits) > maxDigits {
		return quantity{}, invalidValue("is too large: %.30s", raw)
	}
	return quantity{number, unit}, nil
}

// isPlainNumber reports whether digits have no unnecessary leading zero, and have one decimal point at most, with
// digits after it.
func isPlainNumber(digits string) bool {
	whole, fraction, hasPoint := strings.Cut(digits, ".")
	if len(whole) > 1 && whole[0] == '0' {
		return false
	}
	return !hasPoint || fraction != "" && !strings.Contains(fraction, ".")
}
