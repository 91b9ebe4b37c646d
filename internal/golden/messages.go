package golden

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
)

// Message is one complete message of a wire protocol, with a label that describes it.
type Message struct {
	Label string
	Bytes []byte
}

// CompareMessages fails the test unless messages equal those of the golden file, byte by byte and in the same order.
// With -update it writes the file instead. A missing file is a failure.
func CompareMessages(t testing.TB, path string, messages []Message) {
	t.Helper()
	if *update {
		writeMessages(t, path, messages)
		return
	}
	want := ReadMessages(t, path)
	if len(messages) != len(want) {
		t.Errorf("%s: %d messages, want %d", path, len(messages), len(want))
	}
	for i := range min(len(messages), len(want)) {
		got := messages[i]
		if got.Label != want[i].Label || !bytes.Equal(got.Bytes, want[i].Bytes) {
			t.Errorf("%s: message %d differs\n got %s\nwant %s", path, i+1, got.line(), want[i].line())
		}
	}
}

// ReadMessages returns the messages of a golden file. Each line is a label, a colon and a message as a Go string
// literal.
func ReadMessages(t testing.TB, path string) []Message {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var messages []Message
	for line := range strings.Lines(string(text)) {
		label, literal, _ := strings.Cut(strings.TrimSpace(line), ": ")
		content, err := strconv.Unquote(literal)
		if err != nil {
			t.Fatalf("%s: %q: %v", path, label, err)
		}
		messages = append(messages, Message{label, []byte(content)})
	}
	return messages
}

// FindMessage returns the bytes of the message with the given label in a golden file.
func FindMessage(t testing.TB, path, label string) []byte {
	t.Helper()
	for _, message := range ReadMessages(t, path) {
		if message.Label == label {
			return message.Bytes
		}
	}
	t.Fatalf("%s has no message %q", path, label)
	return nil
}

// writeMessages replaces a golden file of messages.
func writeMessages(t testing.TB, path string, messages []Message) {
	t.Helper()
	var text bytes.Buffer
	for _, message := range messages {
		text.WriteString(message.line() + "\n")
	}
	writeFile(t, path, text.Bytes())
}

// line returns the message as a line of a golden file, without the line end.
func (m Message) line() string {
	return fmt.Sprintf("%s: %s", m.Label, strconv.QuoteToASCII(string(m.Bytes)))
}
