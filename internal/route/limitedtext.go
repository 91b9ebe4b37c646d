package route

import "strings"

// limitedText builds a text that stops at a length. Texts about large tables may grow with the tables.
type limitedText struct {
	text strings.Builder
	max  int // in bytes; 0: no limit
}

// add appends texts.
func (b *limitedText) add(texts ...string) {
	for _, text := range texts {
		b.text.WriteString(text)
	}
}

// isFull reports whether the text has reached its length, so that there is no use in appending more.
func (b *limitedText) isFull() bool { return b.max > 0 && b.text.Len() > b.max }

// String returns the text. If it is longer than it may be, it is cut and ends in three dots.
func (b *limitedText) String() string {
	if !b.isFull() {
		return b.text.String()
	}
	return strings.ToValidUTF8(b.text.String()[:b.max], "") + "..."
}

// joinWithOr calls appendItem for each item of a list, with the word "or" between them, until the text is full.
func joinWithOr[T any](b *limitedText, list []T, appendItem func(T)) {
	for i, item := range list {
		if b.isFull() {
			return
		}
		if i > 0 {
			b.add(" or ")
		}
		appendItem(item)
	}
}
