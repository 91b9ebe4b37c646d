package simulator

import (
	"reflect"
	"testing"
	"time"

	"crankhold/policy"
)

// Each kind of record that the sample batch does not contain is decoded completely.
func TestOtherRecords(t *testing.T) {
	const w = policy.WorkerID(0x0a9011f22354)
	for text, want := range map[string]any{
		"02 0003 5d3a91c4 0a9011f22354 0b 01 00 0002 4032800000000000 01 40000000": policy.AttemptCompleted{
			Request: 0x5d3a91c4, Attempt: 2, Worker: w, LoadStatus: policy.WaitedForLoad, Concurrency: 1, RequestClosed: true,
			Took: 18500 * time.Microsecond, Report: []float64{2}},
		"0b 0003 0a9011f22354 0000007c55d20a01 00 4084000000000000 01": policy.LoadCompleted{
			Worker: w, Function: 0x7c55d20a01, Took: 640 * time.Millisecond, Count: 1},
		"01 0003 00000007 0001 0a9011f22354 0000000000000000": policy.ResponseStarted{Request: 7, Attempt: 1},
		"05 0003 4014000000000000 03 0a9011f22354 00":         policy.HealthCheckCompleted{Worker: w, Outcome: policy.TimedOut, Took: 5 * time.Millisecond},
		"08 0003 0002 0003 616263":                            policy.GossipReceived{From: 2, Data: []byte("abc")},
		"04 0003":                                             Kill{},
		"09 0003 0000000000000009 00000002 7b7d":              Init{Seed: 9, Settings: []byte("{}")},
		"06 0003 02 00000029 00000001 0a9011f22354 0000 01 3fc00000 0000 00 40b7d40000000000": policy.EndpointList{
			Kind: policy.CachedEndpointSnapshot, Workers: []policy.Endpoint{{Worker: w, State: policy.Ready, Zone: policy.KnownGroup(0), Cell: policy.KnownGroup(0), Weight: 1.5,
				Started: 6100 * time.Millisecond}}},
	} {
		d := newRecordDecoder(unhex(t, text))
		rec, err := d.record()
		if err != nil || len(d.unread) > 0 || !reflect.DeepEqual(rec.Event, want) {
			t.Errorf("%s:\ngot  %+v (%v, %d left)\nwant %+v", text, rec.Event, err, len(d.unread), want)
		}
	}
}
