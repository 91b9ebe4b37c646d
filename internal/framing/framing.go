// Package framing reassembles the messages of a byte stream from reads that may end anywhere within a message.
package framing

import "bytes"

// maxIdleCapacity is the largest capacity in bytes that an empty buffer keeps. A connection that once received a large
// message in parts must not keep the memory for it while it is idle.
const maxIdleCapacity = 4 << 10

// Decoder decodes the message at the start of unread and returns its size in bytes, or 0 while the message is
// incomplete. unread is valid until Feed returns. An error means that the stream can't be read any further.
type Decoder func(unread []byte) (size int, err error)

// Buffer keeps the start of an incomplete message from one read to the next. It grows with the message, so that a
// message that arrives a few bytes at a time is not copied again for each read. The zero Buffer is empty and ready to
// use. A Buffer is not safe for concurrent use: the goroutine that reads its stream owns it. No method blocks.
type Buffer struct {
	partial []byte
}

// Feed passes the buffered bytes and data to decode, message by message, and buffers a copy of the rest. It returns the
// number of complete messages. If decode returns an error, Feed stops, empties the buffer and returns the error.
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
	b.store(unread)
	return messages, nil
}

// store replaces the buffered bytes with a copy of unread, which may be a part of them.
func (b *Buffer) store(unread []byte) {
	if len(unread) == 0 && cap(b.partial) > maxIdleCapacity {
		b.Reset()
		return
	}
	b.partial = append(b.partial[:0], unread...)
}

// Compact releases the capacity beyond the buffered bytes. It is meant for programs with many streams, which may stay
// idle after a part of a message.
func (b *Buffer) Compact() { b.partial = bytes.Clone(b.partial[:len(b.partial):len(b.partial)]) }

// Len returns the number of buffered bytes of an incomplete message.
func (b *Buffer) Len() int { return len(b.partial) }

// Cap returns the number of bytes of memory that the buffer takes.
func (b *Buffer) Cap() int { return cap(b.partial) }

// Reset empties the buffer and releases its memory.
func (b *Buffer) Reset() { b.partial = nil }
