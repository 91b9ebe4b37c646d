package lang

import (
	"fmt"
	"strings"
)

// suggest returns the end of a message that proposes the known name most similar to a mistyped one, or "" if none is
// similar enough. Longer names may differ by more edits.
func suggest(name string, known []string) string {
	limit := 1 + len(name)/3
	nearest := ""
	found := false
	for _, candidate := range known {
		distance := editDistance(strings.ToLower(name), strings.ToLower(candidate), limit+1)
		if distance < limit || distance == limit && !found {
			nearest = candidate
			found = true
			limit = distance
		}
	}
	if !found || nearest == name {
		return ""
	}
	return fmt.Sprintf("; did you mean %s?", nearest)
}

// editDistance returns the optimal string alignment distance between a and b: the number of bytes that must be
// inserted, deleted, replaced, or swapped with the next byte to turn a into b. If the distance is limit or more, the
// result need not be exact, but it is also limit or more.
func editDistance(a, b string, limit int) int {
	if len(a)-len(b) >= limit || len(b)-len(a) >= limit {
		return limit
	}
	d := newEditDistanceRows(a, b)
	for i := range len(a) {
		d.advance(i)
	}
	return d.current[len(b)]
}

// editDistanceRows computes the distances from one text to another row by row. Row i has the distances from a[:i] to
// each prefix of b. Only the last three rows are kept.
type editDistanceRows struct {
	a              string
	b              string
	beforePrevious []int
	previous       []int
	current        []int
}

// newEditDistanceRows returns the first row, which has the distances from the empty text.
func newEditDistanceRows(a, b string) *editDistanceRows {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	return &editDistanceRows{a: a, b: b, current: row}
}

// advance computes the row of a[:i+1] from the previous rows.
func (d *editDistanceRows) advance(i int) {
	d.beforePrevious = d.previous
	d.previous = d.current
	d.current = make([]int, len(d.b)+1)
	d.current[0] = i + 1
	for j := range len(d.b) {
		d.current[j+1] = d.distance(i, j)
	}
}

// distance returns the distance from a[:i+1] to b[:j+1]: the minimum over the possible last edits.
func (d *editDistanceRows) distance(i, j int) int {
	substitution := d.previous[j]
	if d.a[i] != d.b[j] {
		substitution++
	}
	deletion := d.previous[j+1] + 1
	insertion := d.current[j] + 1
	minimum := min(substitution, deletion, insertion)
	if i > 0 && j > 0 && d.a[i] == d.b[j-1] && d.a[i-1] == d.b[j] {
		transposition := d.beforePrevious[j-1] + 1
		minimum = min(minimum, transposition)
	}
	return minimum
}
