package router

import (
	"testing"

	"crankhold/internal/route"
)

func TestNamesOfFrontsAndStatuses(t *testing.T) {
	for _, test := range []struct{ name, got, want string }{
		{"thrift", Thrift.String(), "thrift"},
		{"webhook", Webhook.String(), "webhook"},
		{"no front", frontCount.String(), "unknown"},
		{"served", Served.String(), "served"},
		{"rejected", Rejected.String(), "rejected"},
		{"failed", Failed.String(), "failed"},
		{"no status", ResponseStatus(3).String(), "unknown"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.got != test.want {
				t.Errorf("%q, want %q", test.got, test.want)
			}
		})
	}
}

// Requests are routed by converting their Front, so the two types must agree.
func TestFrontsAreThoseOfRoutes(t *testing.T) {
	if frontCount != Front(route.Fronts) {
		t.Fatalf("%d fronts, route has %d", frontCount, route.Fronts)
	}
	for front := range frontCount {
		if front.String() != route.Front(front).String() {
			t.Errorf("front %d is %v here and %v in route", front, front, route.Front(front))
		}
	}
}
