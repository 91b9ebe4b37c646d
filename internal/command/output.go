package command

import (
	"encoding/json"
	"fmt"
	"io"

	"crankhold/internal/lang/syntax"
)

// printJSON writes a value as indented JSON.
func printJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// printFaults writes each fault with the line that it concerns and a mark under the column.
func printFaults(w io.Writer, faults syntax.Faults) {
	for _, f := range faults {
		fmt.Fprintln(w, f.Quoted())
	}
}

// printNotes writes notes like faults, with the prefix "note: ".
func printNotes(w io.Writer, notes syntax.Faults) {
	for _, n := range notes {
		n.Msg = "note: " + n.Msg
		fmt.Fprintln(w, n.Quoted())
	}
}

// plural returns a number followed by a noun, with an s unless the number is 1.
func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
