package webhook

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"testing"

	"crankhold/internal/router"
	"crankhold/internal/testutil"
)

// A redelivery that arrives while the first delivery's request is being recorded or run gets the same response, even if
// the first client has disconnected in the meantime.
func TestRedeliveryJoinsRequestInFlight(t *testing.T) {
	core := &fakeCore{}
	receiver, posts := newTestReceiver(t, core, filepath.Join(t.TempDir(), "ledger"))
	defer receiver.Close()
	delivery := signedDelivery(activeSecret, "m", noon, requestPayload("repair-order", "x", noon))
	transports := []*testutil.Transport{{}, {}, {}}
	first := receiver.serve(transports[0], netip.AddrPort{})
	first.Data(delivery)
	receiver.serve(transports[1], netip.AddrPort{}).Data(delivery) // before the order is in the ledger
	(<-posts)()
	receiver.serve(transports[2], netip.AddrPort{}).Data(delivery) // after the order is in the ledger
	first.Closed(nil)
	if len(core.accepted) != 1 || core.accepted[0].Client.Reference != "m" {
		t.Fatalf("the core received %+v, want one request with reference m", core.accepted)
	}
	core.accepted[0].Responder.Respond(router.Response{Status: router.Served, Body: []byte("done")})
	for i, want := range []string{"[]", "[200]", "[200]"} {
		if got := statuses(t, transports[i]); fmt.Sprint(got) != want {
			t.Errorf("client %d got responses %v, want %s", i, got, want)
		}
	}
}
