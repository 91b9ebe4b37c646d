package thrift

import (
	"bytes"
	"encoding/binary"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crankhold/internal/router"
)

// Complete requests reach the core however their bytes are split. Each open request gets exactly one reply, and an
// interrupted request gets none. The test compares random steps with a model.
func TestConnectionRespondsToEachRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		client, core, transport := newTestConnection()
		seq, open := uint32(0), map[uint32]int{}
		feed := func(b []byte) {
			for len(b) > 0 {
				n := rapid.IntRange(1, len(b)).Draw(t, "n")
				client.Data(bytes.Clone(b[:n]))
				b = b[n:]
			}
		}
		drawOpen := func() (uint32, bool) {
			if len(open) == 0 {
				return 0, false
			}
			for s := rapid.Uint32Range(1, seq).Draw(t, "seq"); ; s = s%seq + 1 {
				if _, ok := open[s]; ok {
					return s, true
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"call": func(t *rapid.T) {
				if len(open) == maxOpenRequests {
					return
				}
				seq++
				feed(executeFrame(seq, "body", validFields...))
				open[seq] = len(core.accepted) - 1
				r := core.accepted[len(core.accepted)-1]
				if r.Class != 1 || r.ID != "9b1f03aa5c7e2d41" || r.Function.ID != 0x7f3a9c21e0b4d655 || string(r.Body) != "body" ||
					r.Function.Lanes != 2 || r.Function.MemoryMB != 512 || r.Function.LoadTime != 640*time.Millisecond ||
					r.Deadline != time.Hour+1500*time.Millisecond-router.ResponseMargin {
					t.Fatalf("accepted %+v", r)
				}
			},
			"answer": func(t *rapid.T) {
				s, ok := drawOpen()
				if !ok {
					return
				}
				response := router.Response{Status: router.ResponseStatus(rapid.IntRange(0, 2).Draw(t, "verdict")), Body: []byte("x"), RetryAfter: 1}
				core.accepted[open[s]].Responder.Respond(response)
				core.accepted[open[s]].Responder.Respond(response) // a second response is ignored
				delete(open, s)
				if got, field := readReply(t, transport); got != s || field != uint16(response.Status) {
					t.Fatalf("reply to %d has field %d, want %d of %d", got, field, response.Status, s)
				}
			},
			"interrupt": func(t *rapid.T) {
				s, ok := drawOpen()
				if !ok {
					return
				}
				b := appendMessageHeader(nil, messageOneway, "interrupt", 0)
				b = binary.BigEndian.AppendUint32(appendField(b, wireI32, 1), s)
				feed(writeFrameLength(append(b, wireStop), 0))
				if len(core.canceled) == 0 || int(core.canceled[len(core.canceled)-1]) != open[s]+1 {
					t.Fatalf("canceled %v", core.canceled)
				}
				core.accepted[open[s]].Responder.Respond(router.Response{})
				delete(open, s)
			},
			"bad": func(t *rapid.T) { // the reply to an invalid field is the exception Lost
				fields := append([]string(nil), validFields...)
				fields[rapid.SampledFrom([]int{1, 3, 5, 7, 9}).Draw(t, "field")] = "nonsense"
				seq++
				feed(executeFrame(seq, "", fields...))
				if got, field := readReply(t, transport); got != seq || field != 2 {
					t.Fatalf("reply to %d has field %d", got, field)
				}
			},
			"check": func(t *rapid.T) {
				feed(writeFrameLength(append(appendMessageHeader(nil, messageCall, "check", 7), wireBool, 0, 1, 1, wireStop), 0))
				if got, field := readReply(t, transport); got != 7 || field != 0 {
					t.Fatal("check has no reply")
				}
			},
			"": func(t *rapid.T) {
				if transport.Written.Len() > 0 || transport.Closed || client.Busy() != (len(open) > 0) {
					t.Fatalf("wrote %x, closed %v, busy %v", transport.Written.Bytes(), transport.Closed, client.Busy())
				}
			},
		})
	})
}

// Malformed bytes have no effect other than closing the connection on which they are received.
func TestMalformedBytesOnlyCloseTheirConnection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		client, core, transport := newTestConnection()
		b := executeFrame(1, "body", validFields...)
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "to")
		}
		client.Data(b)
		if len(core.accepted) > 1 || transport.Closed && client.partial.Len() > 0 {
			t.Fatalf("accepted %d, kept %d bytes", len(core.accepted), client.partial.Len())
		}
	})
	for name, b := range map[string][]byte{
		"a frame over the limit": {0, 0, 0x60, 0},
		"a depth over the limit": writeFrameLength(append(appendMessageHeader(nil, messageCall, "execute", 1), append(bytes.Repeat([]byte{wireStruct, 0, 9}, 20), make([]byte, 21)...)...), 0),
	} {
		if client, _, transport := newTestConnection(); true {
			if client.Data(b); !transport.Closed {
				t.Errorf("%s was accepted", name)
			}
		}
	}
}

// A sequence number that is used again closes the connection, whether its request is open or has completed. Otherwise a
// reply could be taken for that of the earlier request.
func TestSequenceNumbersMustIncrease(t *testing.T) {
	for _, responded := range []bool{true, false} {
		for repeated := range uint32(3) {
			client, core, transport := newTestConnection()
			client.Data(executeFrame(2, "", validFields...))
			if responded {
				core.accepted[0].Responder.Respond(router.Response{})
			}
			client.Data(executeFrame(repeated, "", validFields...))
			client.Data(executeFrame(5, "", validFields...))
			if len(core.accepted) != 1 || !transport.Closed || client.Busy() {
				t.Errorf("number %d after 2: %d accepted, closed %v", repeated, len(core.accepted), transport.Closed)
			}
		}
	}
}

// Requests over the limit of a connection are rejected, each with a reply. Requests within the limit stay open.
func TestRequestsBeyondOpenLimitAreRejected(t *testing.T) {
	client, core, transport := newTestConnection()
	for i := range uint32(200) {
		client.Data(executeFrame(i+1, "", validFields...))
	}
	if len(core.accepted) != maxOpenRequests || core.rejected != 200-maxOpenRequests || transport.Closed || len(client.open) != maxOpenRequests {
		t.Fatalf("%d accepted, %d rejected, closed %v", len(core.accepted), core.rejected, transport.Closed)
	}
	for i := range uint32(200 - maxOpenRequests) {
		if seq, field := readReply(t, transport); seq != maxOpenRequests+1+i || field != 1 {
			t.Fatalf("reply to %d has field %d", seq, field)
		}
	}
	core.accepted[0].Responder.Respond(router.Response{})
	if client.Data(executeFrame(201, "", validFields...)); len(core.accepted) != maxOpenRequests+1 {
		t.Error("no request was accepted after a response")
	}
}

// An incomplete frame is not copied again for each received byte, and a small body does not keep the whole read buffer
// in memory.
func TestReadBuffersAreNeitherRecopiedNorRetained(t *testing.T) {
	client, core, _ := newTestConnection()
	frame := executeFrame(1, string(make([]byte, maxBodyBytes)), validFields...)
	allocs := testing.AllocsPerRun(1, func() {
		for i := range frame {
			client.Data(frame[i : i+1])
		}
		if n, inProgress := client.Messages(); n != 1 && inProgress {
			t.Errorf("%d complete messages, another in progress: %v", n, inProgress)
		}
	})
	if allocs > 80 || len(core.accepted) != 1 || len(core.accepted[0].Body) != maxBodyBytes {
		t.Errorf("%v allocations, %d accepted", allocs, len(core.accepted))
	}
	client, core, _ = newTestConnection()
	read := append(executeFrame(1, "small", validFields...), make([]byte, 3)...)
	client.Data(read)
	clear(read)
	if string(core.accepted[0].Body) != "small" {
		t.Error("the body is a slice of the read buffer")
	}
}
