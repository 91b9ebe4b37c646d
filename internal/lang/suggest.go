package lang

import (
	"fmt"
	"strings"
)

// suggest returns text that offers the known name that is nearest to a mistyped one, or "" where none is near.
func suggest(name string, known []string) string {
	limit := 1 + len(name)/3
	nearest, found := "", false
	for _, candidate := range known {
		distance := editDistance(strings.ToLower(name), strings.ToLower(candidate), limit+1)
		if distance < limit || distance == limit && !found {
			nearest, found = candidate, true
			limit = distance
		}
	}
	if !found || nearest == name {
		return ""
	}
	return fmt.Sprintf("; did you mean %s?", nearest)
}

// editDistance returns how many bytes must be inserted, deleted, replaced or swapped with the next one to turn a into b
// (the optimal string alignment distance), or a number of limit or more.
func editDistance(a, b string, limit int) int {
	if len(a)-len(b) >= limit || len(b)-len(a) >= limit {
		return limit
	}
	var beforePrevious, previous []int
	row := make([]int, len(b)+1) // distances from a[:i] to each prefix of b
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		beforePrevious, previous, row = previous, row, make([]int, len(b)+1)
		row[0] = i + 1
		for j := range len(b) {
			substitution := previous[j]
			if a[i] != b[j] {
				substitution++
			}
			deletion := previous[j+1] + 1
			insertion := row[j] + 1
			row[j+1] = min(substitution, deletion, insertion)
			if i > 0 && j > 0 && a[i] == b[j-1] && a[i-1] == b[j] {
				transposition := beforePrevious[j-1] + 1
				row[j+1] = min(row[j+1], transposition)
			}
		}
	}
	return row[len(b)]
}
