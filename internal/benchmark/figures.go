package benchmark

import (
	"fmt"
	"io"
	"strings"
)

// figures collects what an experiment found, in the order in which it is printed.
type figures struct {
	pairs  []string
	failed []string // pairs of figures that had to hold and did not
}

// add adds a figure.
func (f *figures) add(name string, value any) {
	format := "%s=%v"
	if _, isFloat := value.(float64); isFloat {
		format = "%s=%.4g"
	}
	f.pairs = append(f.pairs, fmt.Sprintf(format, name, value))
}

// require adds a figure that has to hold.
func (f *figures) require(name string, value any, holds bool) {
	f.add(name, value)
	if !holds {
		f.failed = append(f.failed, f.pairs[len(f.pairs)-1])
	}
}

// requireZero adds a count of what must not happen.
func (f *figures) requireZero(name string, count int) { f.require(name, count, count == 0) }

// print writes the figures as the last line. It returns an error that names those that do not hold.
func (f *figures) print(out io.Writer) error {
	fmt.Fprintln(out, strings.Join(f.pairs, " "))
	if len(f.failed) > 0 {
		return fmt.Errorf("does not hold: %s", strings.Join(f.failed, " "))
	}
	return nil
}
