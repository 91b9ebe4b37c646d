package webhook

import (
	"bytes"
	"fmt"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"crankhold/internal/router"
	"crankhold/internal/testutil"
)

// A model-based test of a connection. Deliveries reach the core however their bytes are split. Each gets one response,
// in order, with the status that its outcome maps to. The request of a webhook-id runs once, unless it was rejected
// without having run.
func TestConnectionRespondsToEachDeliveryOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core := &fakeCore{}
		transport := &testutil.Transport{}
		receiver, _ := newTestReceiver(t, core, "")
		client := receiver.serve(transport, netip.AddrPort{})
		var want []int
		completed := map[string]int{} // the status that is replayed, by webhook-id
		t.Repeat(map[string]func(*rapid.T){
			"deliver": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
				for b := signedDelivery(activeSecret, id, noon, requestPayload("dim-level", id, noon)); len(b) > 0; {
					n := rapid.IntRange(1, len(b)).Draw(t, "n")
					client.Data(bytes.Clone(b[:n]))
					b = b[n:]
				}
				if status, ok := completed[id]; ok {
					want = append(want, status)
					if client.Busy() {
						t.Fatal("a redelivery ran again")
					}
					return
				}
				if !client.Busy() || string(core.accepted[len(core.accepted)-1].Body) != id {
					t.Fatal("the request did not reach the core")
				}
				response := router.Response{Status: router.ResponseStatus(rapid.IntRange(0, 2).Draw(t, "verdict")),
					MayHaveRun: rapid.Bool().Draw(t, "ran"), DeadlineExceeded: rapid.Bool().Draw(t, "overdue")}
				status := map[router.ResponseStatus]int{router.Served: 200, router.Rejected: 502, router.Failed: 502}[response.Status]
				if notRun := response.Status == router.Rejected && !response.MayHaveRun; notRun {
					status = 503
				}
				if response.DeadlineExceeded && response.Status != router.Served {
					status = 504
				}
				if response.Status != router.Rejected || response.MayHaveRun {
					completed[id] = status
				}
				want = append(want, status)
				core.accepted[len(core.accepted)-1].Responder.Respond(response)
			},
			"": func(t *rapid.T) {
				if got := statuses(t, transport); fmt.Sprint(got) != fmt.Sprint(want) || client.Busy() || transport.Closed {
					t.Fatalf("responses %v, want %v; busy %v, closed %v", got, want, client.Busy(), transport.Closed)
				}
			},
		})
	})
}
