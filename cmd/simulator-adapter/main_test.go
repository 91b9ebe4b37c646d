package main

import (
	"bytes"
	"encoding/hex"
	"testing"
)

func TestEmptyBatchGetsAnEmptyReply(t *testing.T) {
	in, _ := hex.DecodeString("00000001" + "00000000" + "00000000" + "40c06e2000000000")
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil || !bytes.Equal(out.Bytes(), in[:8]) {
		t.Errorf("got %x, %v", out.Bytes(), err)
	}
}

func TestMalformedFrameEndsWithoutAReply(t *testing.T) {
	for _, text := range []string{
		"0000000100000000", // cut short
		"000000010000000100000001" + "40c06e2000000000" + "63",                                      // unknown record
		"000000010000001100000001" + "40c06e2000000000" + "09000300000000000000090000000" + "27b7d", // settings with no classes
	} {
		in, err := hex.DecodeString(text)
		if err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		if err := run(bytes.NewReader(in), &out); err == nil || out.Len() > 0 {
			t.Errorf("%s: %v, wrote %x", text, err, out.Bytes())
		}
	}
}
