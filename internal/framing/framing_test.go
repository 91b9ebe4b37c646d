package framing

import (
	"bytes"
	"encoding/binary"
	"errors"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"crankhold/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

var errTooLong = errors.New("message too long")

// frames is a Decoder of messages that start with their length in two bytes. It keeps a copy of each message.
type frames struct {
	limit    int
	messages [][]byte
}

func (f *frames) decode(unread []byte) (size int, err error) {
	if len(unread) < 2 {
		return 0, nil
	}
	length := int(binary.BigEndian.Uint16(unread))
	if length > f.limit {
		return 0, errTooLong
	}
	size = 2 + length
	if len(unread) < size {
		return 0, nil
	}
	f.messages = append(f.messages, bytes.Clone(unread[2:size]))
	return size, nil
}

// encode returns a message in the form that frames decodes.
func encode(body []byte) []byte {
	return append(binary.BigEndian.AppendUint16(nil, uint16(len(body))), body...)
}

func TestMessagesAreReassembledHoweverTheyAreSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bodies := rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 0, 50)).Draw(t, "bodies")
		var stream []byte
		for _, body := range bodies {
			stream = append(stream, encode(body)...)
		}
		received := frames{limit: 50}
		var buffer Buffer
		total := 0
		for len(stream) > 0 {
			n := rapid.IntRange(1, len(stream)).Draw(t, "read")
			read := bytes.Clone(stream[:n])
			stream = stream[n:]
			messages, err := buffer.Feed(read, received.decode)
			if err != nil {
				t.Fatal(err)
			}
			total += messages
			clear(read) // the buffer must not depend on the bytes of the read
		}
		if !slices.EqualFunc(received.messages, bodies, bytes.Equal) || total != len(bodies) {
			t.Fatalf("received %q, counted %d, want %q", received.messages, total, bodies)
		}
		if buffer.Len() != 0 {
			t.Fatalf("%d bytes are still buffered", buffer.Len())
		}
	})
}

func TestIncompleteMessageIsBuffered(t *testing.T) {
	received := frames{limit: 50}
	var buffer Buffer
	data := append(encode([]byte("complete")), 0, 9, 'x')
	messages, err := buffer.Feed(data, received.decode)
	if messages != 1 || err != nil || buffer.Len() != 3 {
		t.Errorf("%d messages, %v, %d bytes buffered, want 1, no error and 3", messages, err, buffer.Len())
	}
	buffer.Reset()
	if buffer.Len() != 0 {
		t.Errorf("%d bytes after a reset", buffer.Len())
	}
}

func TestErrorEmptiesTheBuffer(t *testing.T) {
	received := frames{limit: 50}
	var buffer Buffer
	if _, err := buffer.Feed([]byte{0}, received.decode); err != nil {
		t.Fatal(err)
	}
	data := append([]byte{3, 'a', 'b', 'c'}, 0xff, 0xff, 'd')
	messages, err := buffer.Feed(data, received.decode)
	if messages != 1 || !errors.Is(err, errTooLong) || buffer.Len() != 0 {
		t.Errorf("%d messages, %v, %d bytes buffered, want 1, %v and none", messages, err, buffer.Len(), errTooLong)
	}
}

func TestLargeBufferIsReleasedOnceItIsEmpty(t *testing.T) {
	for _, test := range []struct {
		name     string
		size     int
		released bool
	}{
		{"small", maxIdleCapacity / 4, false},
		{"large", 4 * maxIdleCapacity, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			received := frames{limit: test.size}
			var buffer Buffer
			message := encode(make([]byte, test.size))
			for _, read := range [][]byte{message[:1], message[1 : test.size/2], message[test.size/2:]} {
				if _, err := buffer.Feed(read, received.decode); err != nil {
					t.Fatal(err)
				}
			}
			if len(received.messages) != 1 || (buffer.partial == nil) != test.released {
				t.Errorf("%d messages, %d bytes of capacity kept", len(received.messages), cap(buffer.partial))
			}
		})
	}
}

func TestMessageByteByByteIsNotCopiedAnew(t *testing.T) {
	const size = 16 << 10
	message := encode(make([]byte, size))
	allocations := testing.AllocsPerRun(10, func() {
		received := frames{limit: size}
		var buffer Buffer
		for i := range message {
			if _, err := buffer.Feed(message[i:i+1], received.decode); err != nil {
				t.Fatal(err)
			}
		}
	})
	if allocations > 40 {
		t.Errorf("%v allocations for %d bytes", allocations, size)
	}
}

func TestCompleteMessagesAreNotCopied(t *testing.T) {
	message := encode([]byte("complete"))
	var buffer Buffer
	allocations := testing.AllocsPerRun(100, func() {
		_, err := buffer.Feed(message, func(unread []byte) (int, error) {
			if &unread[0] != &message[0] {
				t.Error("the message was copied")
			}
			return len(unread), nil
		})
		if err != nil {
			t.Fatal(err)
		}
	})
	if allocations > 0 {
		t.Errorf("%v allocations", allocations)
	}
}

func TestCompactKeepsTheBytesAndNoMore(t *testing.T) {
	received := frames{limit: 4 * maxIdleCapacity}
	var buffer Buffer
	large := encode(make([]byte, 4*maxIdleCapacity))
	for _, read := range [][]byte{large[:1], append(bytes.Clone(large[1:]), 0, 2, 'a')} {
		if _, err := buffer.Feed(read, received.decode); err != nil {
			t.Fatal(err)
		}
	}
	buffer.Compact()
	if buffer.Len() != 3 || cap(buffer.partial) > 64 {
		t.Errorf("%d bytes buffered in a capacity of %d, want 3 in at most 64", buffer.Len(), cap(buffer.partial))
	}
	if messages, err := buffer.Feed([]byte{'b'}, received.decode); messages != 1 || err != nil || string(received.messages[1]) != "ab" {
		t.Errorf("%d messages, %v, the last %q", messages, err, received.messages[len(received.messages)-1])
	}
}
