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

// Routing converts a request's Front to a route.Front, so the values of the two types must agree.
func TestFrontsMatchRouteFronts(t *testing.T) {
	for _, test := range []struct {
		front Front
		want  route.Front
	}{
		{Thrift, route.Thrift},
		{Webhook, route.Webhook},
	} {
		t.Run(test.front.String(), func(t *testing.T) {
			converted := route.Front(test.front)
			if converted != test.want || converted.String() != test.front.String() {
				t.Errorf("%v is %v in route, want %v", test.front, converted, test.want)
			}
		})
	}
}
