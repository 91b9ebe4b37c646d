package fake

import (
	"bytes"
	"encoding/hex"
	"errors"
	"reflect"
	"testing"
	"time"
)

// A request is encoded as the platform's protocol requires: a framed call message of Thrift's strict binary protocol.
func TestRequestEncoding(t *testing.T) {
	request := Request{
		Class:          "c",
		ID:             "1",
		FunctionKey:    "2",
		Timeout:        1500 * time.Millisecond,
		IdempotencyKey: "k",
		Body:           []byte("x"),
	}
	got := encodeMessage(messageCall, "execute", 7, executeArguments(&request))
	want := "" +
		"00000067" + "80010001" + "00000007" + hex.EncodeToString([]byte("execute")) + "00000007" +
		"0d0001" + "0b0b" + "00000005" +
		encodedString("class") + encodedString("c") +
		encodedString("id") + encodedString("1") +
		encodedString("wait") + encodedString("1500") +
		encodedString("key") + encodedString("2") +
		encodedString("once") + encodedString("k") +
		"0b0002" + encodedString("x") + "00"
	if hex.EncodeToString(got) != want {
		t.Errorf("got  %x\nwant %s", got, want)
	}
}

// encodedString returns the encoding of a string in hex.
func encodedString(s string) string { return hex.EncodeToString(appendString(nil, s)) }

func decodeHex(t *testing.T, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(s)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestResponseDecoding(t *testing.T) {
	const reply = "80010002" + "00000000" + "00000009"
	for _, tt := range []struct {
		name  string
		frame string
		want  Response
	}{
		{
			"served",
			reply + "0c0000" + "0b0001" + encodedString("done") + "00" + "00",
			Response{Status: Served, Body: []byte("done")},
		},
		{
			"rejected",
			reply + "0c0001" + "0d0001" + "0b0b" + "00000001" + encodedString("after") + encodedString("250") + "00" + "00",
			Response{Status: Rejected, RetryAfter: 250 * time.Millisecond},
		},
		{"failed", reply + "0c0002" + "00" + "00", Response{Status: Failed}},
		{"a health check", reply + "0c0000" + "020001" + "01" + "00" + "00", Response{Status: Served, Healthy: true}},
		{"an exception", "80010003" + "00000000" + "00000009", Response{Status: Failed}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			seq, got, err := parseResponse(decodeHex(t, tt.frame))
			if err != nil || seq != 9 || !reflect.DeepEqual(got, tt.want) {
				t.Errorf("%d, %+v, %v; want %+v", seq, got, err, tt.want)
			}
		})
	}
}

func TestMalformedResponsesAreErrors(t *testing.T) {
	const reply = "80010002" + "00000000" + "00000009"
	for name, frame := range map[string]string{
		"empty":              "",
		"a truncated header": "80010002",
		"no struct":          reply + "0b0000",
		"an unknown type":    reply + "0c0000" + "030001",
		"a truncated string": reply + "0c0000" + "0b0001" + "00000010" + "00",
		"a too long string":  reply + "0c0000" + "0b0001" + "ffffffff",
		"no stop field":      reply + "0c0000",
	} {
		t.Run(name, func(t *testing.T) {
			if _, got, err := parseResponse(decodeHex(t, frame)); !errors.Is(err, errMalformedResponse) {
				t.Errorf("%+v, %v", got, err)
			}
		})
	}
	if _, _, err := readResponse(bytes.NewReader(decodeHex(t, "7fffffff"))); err == nil {
		t.Error("a frame larger than the limit is accepted")
	}
}
