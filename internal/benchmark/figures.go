package benchmark

import (
	"fmt"
	"io"
	"strings"
)

// figures collects what an experiment found, in the order in which it is told.
type figures struct {
	pairs  []string
	broken []string
}

// add notes a figure.
func (f *figures) add(name string, value any) {
	switch v := value.(type) {
	case float64:
		f.pairs = append(f.pairs, fmt.Sprintf("%s=%.4g", name, v))
	default:
		f.pairs = append(f.pairs, fmt.Sprintf("%s=%v", name, v))
	}
}

// must notes a figure that has to hold.
func (f *figures) must(name string, value any, holds bool) {
	f.add(name, value)
	if !holds {
		f.broken = append(f.broken, f.pairs[len(f.pairs)-1])
	}
}

// print writes the last line; the error names what does not hold.
func (f *figures) print(out io.Writer) error {
	fmt.Fprintln(out, strings.Join(f.pairs, " "))
	if len(f.broken) > 0 {
		return fmt.Errorf("does not hold: %s", strings.Join(f.broken, " "))
	}
	return nil
}
