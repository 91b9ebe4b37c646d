// Package framing reassembles the messages of a byte stream from reads that may end anywhere within one.
package framing

import "bytes"

// maxIdleCapacity is how large an empty buffer may be and still be kept, in bytes: a connection that once received
// a large message in parts must not hold the memory for it while it has nothing to receive.
const maxIdleCapacity = 4 << 10

// Decoder takes one message off the front of unread and returns its size in bytes, 0 while the message is incomplete.
// unread is valid until Feed returns.
type Decoder func(unread []byte) (size int, err error)

// Buffer keeps the beginning of an incomplete message from one read to the next. It grows with the message, so that
// one that arrives a few bytes at a time is not copied anew for each of them. The zero Buffer is empty and ready to
// use; it is not safe for concurrent use.
type Buffer struct {
	partial []byte
}

// Feed hands what is buffered and data to decode, message by message, and buffers a copy of the rest. It returns how
// many messages were complete. An error of decode ends it and empties the buffer: the stream can't be read any further.
func (b *Buffer) Feed(data []byte, decode Decoder) (messages int, err error) {
	unread := data
	if len(b.partial) > 0 {
		b.partial = append(b.partial, data...)
		unread = b.partial
	}
	for len(unread) > 0 {
		size, err := decode(unread)
		if err != nil {
			b.Reset()
			return messages, err
		}
		if size == 0 {
			break
		}
		messages++
		unread = unread[size:]
	}
	if messages == 0 && len(b.partial) > 0 {
		return 0, nil // all of it is buffered already
	}
	b.keep(unread)
	return messages, nil
}

// keep replaces the buffered bytes by a copy of unread, which may be a part of them.
func (b *Buffer) keep(unread []byte) {
	if len(unread) == 0 && cap(b.partial) > maxIdleCapacity {
		b.Reset()
		return
	}
	b.partial = append(b.partial[:0], unread...)
}

// Compact releases what the buffer holds beyond the buffered bytes. It is for streams of which there are many, and
// which may stay idle with the beginning of a message.
func (b *Buffer) Compact() { b.partial = bytes.Clone(b.partial[:len(b.partial):len(b.partial)]) }

// Len is how many bytes of an incomplete message are buffered.
func (b *Buffer) Len() int { return len(b.partial) }

// Reset empties the buffer and releases its memory.
func (b *Buffer) Reset() { b.partial = nil }
