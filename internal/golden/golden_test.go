package golden

import (
	"fmt"
	"testing"
)

func TestFirstDifference(t *testing.T) {
	for _, test := range []struct {
		name string
		got  string
		want string
		diff difference
	}{
		{"a line differs", "a\nb\nc", "a\nx\nc", difference{2, "b", "x"}},
		{"got is longer", "a\nb", "a", difference{1, "a", "a"}},
		{"want is longer", "a", "a\nb", difference{1, "a", "a"}},
		{"trailing line end", "a\n", "a", difference{1, "a", "a"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if found := firstDifference(test.got, test.want); found != test.diff {
				t.Errorf("found %+v, want %+v", found, test.diff)
			}
		})
	}
}

func TestMessagesAreReadAsTheyWereWritten(t *testing.T) {
	path := t.TempDir() + "/folder/messages.txt"
	messages := []Message{{"request", []byte("a\x00\r\n")}, {"response", []byte("é: \xff")}}
	writeMessages(t, path, messages)
	CompareMessages(t, path, messages)
	if got := string(FindMessage(t, path, "response")); got != "é: \xff" {
		t.Errorf("read %q", got)
	}
}

func ExampleQuote() {
	fmt.Print(Quote("request", []byte("GET / HTTP/1.1\r\n\r\n")))
	// Output:
	// request:
	// 	"GET / HTTP/1.1\r\n"
	// 	"\r\n"
}
