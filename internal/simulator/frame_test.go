package simulator

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"crankhold/policy"
)

func unhex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

const sample = `0000000c 00000042 00000003 40c06e2000000000
	0a 0003 5d3a91c4 0000 44610000 01 0000007c55d20a01 40000000 43c00000 0000 4028000000000000 406e000000000000
	07 0003 000000000000004d
	03 0005 0e6f2b19`

func TestSampleBatch(t *testing.T) {
	b, err := ReadBatch(bytes.NewReader(unhex(t, sample)))
	if err != nil {
		t.Fatal(err)
	}
	want := []Record{
		{3, policy.RequestArrived{Request: 0x5d3a91c4, Function: 0x7c55d20a01, Lanes: 2, MemoryMB: 384,
			LoadTime: 900 * time.Millisecond, Work: 12 * time.Millisecond, Remaining: 240 * time.Millisecond}},
		{3, policy.TimerFired{Token: 77}},
		{5, policy.RequestCanceled{Request: 0x0e6f2b19}},
	}
	if b.Sequence != 12 || b.Now != 8412250*time.Microsecond || !reflect.DeepEqual(b.Records, want) {
		t.Errorf("got %+v", b)
	}
}

func TestSampleReply(t *testing.T) {
	var r Reply
	r.Add(3, []policy.Action{policy.StartAttempt{Request: 0x5d3a91c4, Worker: 0x0a124a07232b, Limit: 80 * time.Millisecond},
		policy.SetTimer{After: 500*time.Millisecond + 0, Token: 77}})
	r.Add(5, []policy.Action{policy.Log{Text: "two servers known"}})
	want := unhex(t, `0000000c 0000003e 45 0003 5d3a91c4 0a124a07 232b 4054000000000000
		41 0003 407f400000000000 000000000000004d 4b 0005 0011 74776f2073657276657273206b6e6f776e`)
	var out bytes.Buffer
	if err := r.Flush(&out, 12); err != nil || !bytes.Equal(out.Bytes(), want) {
		t.Errorf("got  %x (%v)\nwant %x", out.Bytes(), err, want)
	}
}

func TestOtherRecords(t *testing.T) {
	const w = policy.WorkerID(0x0a9011f22354)
	for text, want := range map[string]any{
		"02 0003 5d3a91c4 0a9011f22354 0b 01 00 0002 4032800000000000 01 40000000": policy.AttemptCompleted{
			Request: 0x5d3a91c4, Attempt: 2, Worker: w, LoadStatus: policy.WaitedForLoad, Concurrency: 1, Closed: true,
			Took: 18500 * time.Microsecond, Report: []float64{2}},
		"0b 0003 0a9011f22354 0000007c55d20a01 00 4084000000000000 01": policy.LoadCompleted{
			Worker: w, Function: 0x7c55d20a01, Took: 640 * time.Millisecond, Count: 1},
		"01 0003 00000007 0001 0a9011f22354 0000000000000000": policy.ResponseStarted{Request: 7, Attempt: 1},
		"05 0003 4014000000000000 03 0a9011f22354 00":         policy.HealthCheckCompleted{Worker: w, Outcome: policy.TimedOut, Took: 5 * time.Millisecond},
		"08 0003 0002 0003 616263":                            policy.GossipReceived{From: 2, Data: []byte("abc")},
		"04 0003":                                             Kill{},
		"09 0003 0000000000000009 00000002 7b7d":              Init{Seed: 9, Settings: []byte("{}")},
		"06 0003 02 00000029 00000001 0a9011f22354 0000 01 3fc00000 0000 00 40b7d40000000000": policy.EndpointList{
			Kind: policy.CachedEndpointSnapshot, Workers: []policy.Endpoint{{Worker: w, State: policy.Ready, Weight: 1.5,
				Started: 6100 * time.Millisecond}}},
	} {
		d := decoder{unread: unhex(t, text)}
		rec, err := d.record()
		if err != nil || len(d.unread) > 0 || !reflect.DeepEqual(rec.Event, want) {
			t.Errorf("%s:\ngot  %+v (%v, %d left)\nwant %+v", text, rec.Event, err, len(d.unread), want)
		}
	}
}

func TestEveryActionIsWritten(t *testing.T) {
	for _, c := range []struct {
		action policy.Action
		want   string
	}{
		{policy.CancelAttempt{Request: 1, Attempt: 2}, "4c 0003 00000001 0002"},
		{policy.Reject{Request: 1}, "4e 0003 00000001 0000000000000000"},
		{policy.FailRequest{Request: 1}, "43 0003 00000001"},
		{policy.Load{Worker: 0x0a9011f22354, Function: 0x7c55d20a01, Count: 1}, "48 0003 01 0000007c55d20a01 0a9011f22354"},
		{policy.Unload{Worker: 1, Function: 2}, "4a 0003 000000000001 0000000000000002"},
		{policy.CheckHealth{Worker: 1}, "49 0003 000000000001"},
		{policy.SendGossip{To: -1, Data: []byte("hi 7")}, "46 0003 ffffffff 0004 68692037"},
		{policy.Subscribe{On: true}, "47 0003 01"},
		{policy.FetchEndpoints{}, "4d 0003"},
		{policy.CloseIdleConnections{Worker: 1}, "42 0003 000000000001"},
	} {
		var r Reply
		r.Add(3, []policy.Action{c.action})
		if !bytes.Equal(r.encoder.records, unhex(t, c.want)) {
			t.Errorf("%T: got %x, want %s", c.action, r.encoder.records, c.want)
		}
	}
}

func TestMalformedFrames(t *testing.T) {
	whole := unhex(t, sample)
	for n := 1; n < len(whole); n++ {
		if _, err := ReadBatch(bytes.NewReader(whole[:n])); err == nil || err == io.EOF {
			t.Fatalf("cut at %d: %v", n, err)
		}
	}
	for name, at := range map[string]struct {
		i int
		b byte
	}{"record code": {20, 99}, "record count": {11, 9}, "length": {7, 0x41}, "clock": {12, 0xff}} {
		bad := bytes.Clone(whole)
		bad[at.i] = at.b
		if _, err := ReadBatch(bytes.NewReader(bad)); err == nil {
			t.Errorf("bad %s: no error", name)
		}
	}
}

// A FrameError says where a frame is malformed.
func TestFrameErrors(t *testing.T) {
	whole := unhex(t, sample)
	change := func(at int, to byte) []byte {
		frame := bytes.Clone(whole)
		frame[at] = to
		return frame
	}
	for name, c := range map[string]struct {
		frame []byte
		want  FrameError
		text  string
	}{
		"header": {whole[:5], FrameError{NoBatch, NoRecord, 5, "truncated batch header", io.ErrUnexpectedEOF},
			"truncated batch header: unexpected EOF"},
		"clock":  {change(12, 0xff), FrameError{12, NoRecord, 12, "bad clock", nil}, "batch 12: bad clock"},
		"length": {change(4, 0x41), FrameError{12, NoRecord, 4, "length 1090519106 is too large", nil}, "batch 12: length 1090519106 is too large"},
		"body":   {whole[:50], FrameError{12, NoRecord, 50, "truncated at byte 30 of 66", nil}, "batch 12: truncated at byte 30 of 66"},
		"code":   {change(20, 99), FrameError{12, 0, 23, "unknown record code 99", nil}, "batch 12, record 0: unknown record code 99"},
		"count":  {change(11, 4), FrameError{12, 3, 86, "unknown record code 0", nil}, "batch 12, record 3: unknown record code 0"},
		"record": {change(7, 0x41)[:85], FrameError{12, 2, 85, "record is cut short", nil}, "batch 12, record 2: record is cut short"},
		"rest":   {change(11, 2), FrameError{12, NoRecord, 79, "7 bytes left over", nil}, "batch 12: 7 bytes left over"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ReadBatch(bytes.NewReader(c.frame))
			var got *FrameError
			if !errors.As(err, &got) || *got != c.want {
				t.Fatalf("got %+v, want %+v", err, c.want)
			}
			if c.text != "" && err.Error() != c.text {
				t.Errorf("text %q, want %q", err.Error(), c.text)
			}
		})
	}
}

func TestSettings(t *testing.T) {
	c, err := ParseSettings([]byte(`{"unknown": [1], "peersTotal": 3, "classes": [{"deadlineMs": 4000, "goalTimeMs": 400,
		"group": "all", "semantics": "keyed", "windowMs": 2500, "worth": 9}], "membershipMode": "subscribe",
		"specifics": {"ifCold": "miss", "lingerIdleMs": 9200}}`))
	if err != nil {
		t.Fatal(err)
	}
	if c.Routers != 3 || !c.EndpointsByPolling || !c.MissWhenNotLoaded || c.KeepAlive != 9200*time.Millisecond ||
		c.Classes[0].Idempotency != policy.IdempotentWithKey || c.Classes[0].DeduplicationWindow != 2500*time.Millisecond || c.OverQuotaWeight != 1 {
		t.Errorf("got %+v", c)
	}
	for bad, want := range map[string]struct {
		class int
		text  string
	}{
		`{`:                                     {NoClass, "settings: unexpected end of JSON input"},
		`{"classes": [{"semantics": "maybe"}]}`: {0, `settings: class 0: unknown semantics "maybe"`},
	} {
		_, err := ParseSettings([]byte(bad))
		if got := (*SettingsError)(nil); !errors.As(err, &got) || got.Class != want.class || err.Error() != want.text {
			t.Errorf("%s: %v, want %q", bad, err, want.text)
		}
	}
	if millis(math.NaN()) != 0 || millis(math.Inf(1)) != 0 {
		t.Error("no number must count as absent")
	}
}

func FuzzReadBatch(f *testing.F) {
	f.Add(unhex(f, sample))
	f.Add(unhex(f, "00000001 00000000 00000000 40c06e2000000000"))
	f.Fuzz(func(t *testing.T, b []byte) {
		batch, err := ReadBatch(bytes.NewReader(b))
		if err == nil && batch.Now < 0 {
			t.Errorf("clock %v", batch.Now)
		}
	})
}
