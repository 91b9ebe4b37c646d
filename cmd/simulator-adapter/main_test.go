package main

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"testing"

	"crankhold/internal/simulator"
)

// unhex decodes a hexadecimal text.
func unhex(t *testing.T, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(text)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A batch without records also gets a reply, because the simulator waits for one.
func TestEmptyBatchGetsAnEmptyReply(t *testing.T) {
	in := unhex(t, "00000001"+"00000000"+"00000000"+"40c06e2000000000")
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil || !bytes.Equal(out.Bytes(), in[:8]) {
		t.Errorf("got %x, %v", out.Bytes(), err)
	}
}

// A malformed frame, or an Init with invalid settings, is an error, and no part of a reply is written.
func TestMalformedFrameEndsWithoutAReply(t *testing.T) {
	for _, text := range []string{
		"0000000100000000", // truncated header
		"000000010000000100000001" + "40c06e2000000000" + "63",                                      // unknown record code
		"000000010000001100000001" + "40c06e2000000000" + "09000300000000000000090000000" + "27b7d", // settings without classes
	} {
		var out bytes.Buffer
		if err := run(bytes.NewReader(unhex(t, text)), &out); err == nil || out.Len() > 0 {
			t.Errorf("%s: %v, wrote %x", text, err, out.Bytes())
		}
	}
}

// Events are passed to their instance. Events for an instance that was never started, or was killed, are ignored.
func TestEventsReachTheirInstance(t *testing.T) {
	const (
		settings = `{"classes":[{"semantics":"safe","deadlineMs":3000,"goalTimeMs":500,"worth":1}]}`
		arrived  = "0a" + "0003" + "5d3a91c4" + "0000" + "44610000" + "01" + "0000007c55d20a01" + "40000000" + "43c00000" +
			"0000" + "4028000000000000" + "406e000000000000"
		kill = "04" + "0003"
	)
	start := fmt.Sprintf("09"+"0003"+"0000000000000009"+"%08x%x", len(settings), settings)
	h := newHost()
	for _, step := range []struct {
		name    string
		record  string
		running int
	}{
		{"event before the start", arrived, 0},
		{"start", start, 1},
		{"kill", kill, 0},
		{"event after the kill", arrived, 0},
	} {
		frame := fmt.Sprintf("00000001%08x00000001", len(step.record)/2) + "40c06e2000000000" + step.record
		batch, err := simulator.ReadBatch(bytes.NewReader(unhex(t, frame)))
		if err != nil {
			t.Fatalf("%s: %v", step.name, err)
		}
		if err := h.handle(batch); err != nil || len(h.instances) != step.running {
			t.Errorf("%s: %d instances run, %v", step.name, len(h.instances), err)
		}
	}
}
