package framing_test

import (
	"bytes"
	"fmt"

	"crankhold/internal/framing"
)

// A peer's lines arrive in reads that may end anywhere within a line.
func Example() {
	var buffer framing.Buffer
	decodeLine := func(unread []byte) (size int, err error) {
		end := bytes.IndexByte(unread, '\n')
		if end < 0 {
			return 0, nil // incomplete
		}
		fmt.Printf("line %q\n", unread[:end])
		return end + 1, nil
	}
	for _, read := range []string{"one\ntw", "o", "\nthree\n"} {
		lines, _ := buffer.Feed([]byte(read), decodeLine)
		fmt.Printf("%d complete, %d bytes buffered\n", lines, buffer.Len())
	}
	// Output:
	// line "one"
	// 1 complete, 2 bytes buffered
	// 0 complete, 3 bytes buffered
	// line "two"
	// line "three"
	// 2 complete, 0 bytes buffered
}
