package webhook

import (
	"bytes"
	"net/netip"
	"runtime"
	"testing"

	"pgregory.net/rapid"

	"crankhold/internal/testutil"
)

// wrongKey signs deliveries that are answered at once, with status 401.
var wrongKey = bytes.Repeat([]byte{1}, len(activeSecret))

// allocated returns the bytes that call allocates.
func allocated(call func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	call()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against memory and time that grow with the square of the deliveries in one read: what follows a delivery was
// copied for each of them.
func TestDeliveriesInOneReadAreNotCopiedForEachOther(t *testing.T) {
	receiver, _ := newTestReceiver(t, &fakeCore{}, "")
	delivery := signedDelivery(wrongKey, "a", noon, []byte("{}"))
	const count = 150 // as many as fit into a read of 32 KiB
	handle := func(data []byte) func() {
		client := receiver.serve(&testutil.Transport{}, netip.AddrPort{})
		return func() { client.Data(data) }
	}
	allocated(handle(delivery)) // what is allocated once
	single := allocated(handle(delivery))
	together := allocated(handle(bytes.Repeat(delivery, count)))
	if limit := 2 * count * single; together > limit {
		t.Errorf("%d deliveries in one read take %d bytes, want at most %d: one takes %d", count, together, limit, single)
	}
}

// Guards against heads that point into memory that was given up when the deliveries before them were handled.
func TestDeliveriesInOneStreamAreHandledHoweverTheyAreSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core := &fakeCore{}
		transport := &testutil.Transport{}
		receiver, _ := newTestReceiver(t, core, "")
		client := receiver.serve(transport, netip.AddrPort{})
		var stream []byte
		count := rapid.IntRange(1, 6).Draw(t, "count")
		for range count {
			stream = append(stream, signedDelivery(wrongKey, "a", noon, requestPayload("dim-level", "a", noon))...)
		}
		stream = append(stream, signedDelivery(activeSecret, "b", noon, requestPayload("dim-level", "b", noon))...)
		for len(stream) > 0 {
			n := rapid.IntRange(1, len(stream)).Draw(t, "n")
			read := bytes.Clone(stream[:n])
			stream = stream[n:]
			client.Data(read)
			clear(read) // the connection keeps no part of a read
		}
		if got := statuses(t, transport); len(got) != count || got[len(got)-1] != 401 {
			t.Fatalf("responses %v, want %d with status 401", got, count)
		}
		if len(core.accepted) != 1 || string(core.accepted[0].Body) != "b" {
			t.Fatalf("%d requests reached the core, want the last one", len(core.accepted))
		}
	})
}
