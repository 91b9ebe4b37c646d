package simulator

import (
	"bytes"
	"testing"
	"time"

	"crankhold/policy"
)

// A reply is a frame with the actions of all instances in the order in which they were added.
func TestSampleReply(t *testing.T) {
	var r Reply
	r.Add(3, []policy.Action{policy.StartAttempt{Request: 0x5d3a91c4, Worker: 0x0a124a07232b, Timeout: 80 * time.Millisecond},
		policy.SetTimer{After: 500 * time.Millisecond, Token: 77}})
	r.Add(5, []policy.Action{policy.Log{Text: "two servers known"}})
	want := unhex(t, `0000000c 0000003e 45 0003 5d3a91c4 0a124a07 232b 4054000000000000
		41 0003 407f400000000000 000000000000004d 4b 0005 0011 74776f2073657276657273206b6e6f776e`)
	var out bytes.Buffer
	if err := r.Flush(&out, 12); err != nil || !bytes.Equal(out.Bytes(), want) {
		t.Errorf("got  %x (%v)\nwant %x", out.Bytes(), err, want)
	}
}

// Each kind of action is written as its code, the instance and its fields in order.
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
