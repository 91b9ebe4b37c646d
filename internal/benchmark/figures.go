package benchmark

import (
	"fmt"
	"io"
	"strings"
)

// figures collects the results of an experiment as key=value pairs, in the order in which they are printed.
type figures struct {
	pairs  []string
	failed []string // the pairs that did not meet their requirement
}

// add adds a figure.
func (f *figures) add(name string, value any) {
	format := "%s=%v"
	if _, isFloat := value.(float64); isFloat {
		format = "%s=%.4g"
	}
	f.pairs = append(f.pairs, fmt.Sprintf(format, name, value))
}

// require adds a figure with a requirement. holds says whether the figure meets it.
func (f *figures) require(name string, value any, holds bool) {
	f.add(name, value)
	if !holds {
		f.failed = append(f.failed, f.pairs[len(f.pairs)-1])
	}
}

// requireZero adds a count that is required to be zero.
func (f *figures) requireZero(name string, count int) { f.require(name, count, count == 0) }

// print writes all figures on one line. It returns an error that lists the figures that did not meet their requirement.
func (f *figures) print(out io.Writer) error {
	fmt.Fprintln(out, strings.Join(f.pairs, " "))
	if len(f.failed) > 0 {
		return fmt.Errorf("requirement not met: %s", strings.Join(f.failed, " "))
	}
	return nil
}
