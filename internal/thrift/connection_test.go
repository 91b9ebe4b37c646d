package thrift

import (
	"bytes"
	"encoding/binary"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crankhold/internal/router"
)

// The model of a connection: complete requests reach the core however they are split, each open one gets its one
// response, and an interrupted one gets none.
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
				core.accepted[open[s]].Responder.Respond(response) // a second one goes nowhere
				delete(open, s)
				if got, field := readReply(t, transport); got != s || field != uint16(response.Status) {
					t.Fatalf("answer to %d has field %d, want %d of %d", got, field, response.Status, s)
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
			"bad": func(t *rapid.T) { // wrong fields are answered, with a failure
				fields := append([]string(nil), validFields...)
				fields[rapid.SampledFrom([]int{1, 3, 5, 7, 9}).Draw(t, "field")] = "nonsense"
				seq++
				feed(executeFrame(seq, "", fields...))
				if got, field := readReply(t, transport); got != seq || field != 2 {
					t.Fatalf("answer to %d has field %d", got, field)
				}
			},
			"check": func(t *rapid.T) {
				feed(writeFrameLength(append(appendMessageHeader(nil, messageCall, "check", 7), wireBool, 0, 1, 1, wireStop), 0))
				if got, field := readReply(t, transport); got != 7 || field != 0 {
					t.Fatal("check was not answered")
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

// Whatever is received ends its own connection at most.
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
		"a frame over the cap": {0, 0, 0x60, 0},
		"a depth over the cap": writeFrameLength(append(appendMessageHeader(nil, messageCall, "execute", 1), append(bytes.Repeat([]byte{wireStruct, 0, 9}, 20), make([]byte, 21)...)...), 0),
	} {
		if client, _, transport := newTestConnection(); true {
			if client.Data(b); !transport.Closed {
				t.Errorf("%s was accepted", name)
			}
		}
	}
}

// A sequence number that is used again closes the connection, whether its request is open or was answered: a reply
// could be taken for the other request's.
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

// Requests beyond the limit on one connection are rejected, each with a response, and those within it go on.
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
			t.Fatalf("answer to %d has field %d", seq, field)
		}
	}
	core.accepted[0].Responder.Respond(router.Response{})
	if client.Data(executeFrame(201, "", validFields...)); len(core.accepted) != maxOpenRequests+1 {
		t.Error("no room after an answer")
	}
}

// The beginning of a frame is not copied anew for each byte, and one small body does not keep the whole read that it
// came in.
func TestReadBuffersAreNeitherRecopiedNorRetained(t *testing.T) {
	client, core, _ := newTestConnection()
	frame := executeFrame(1, string(make([]byte, maxBodyBytes)), validFields...)
	allocs := testing.AllocsPerRun(1, func() {
		for i := range frame {
			client.Data(frame[i : i+1])
		}
		if n, inProgress := client.Messages(); n != 1 && inProgress {
			t.Errorf("%d complete messages, another begun: %v", n, inProgress)
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
		t.Error("the body points into the read")
	}
}
