package simulator

import (
	"errors"
	"math"
	"testing"
	"time"

	"crankhold/policy"
)

// Settings are passed to the policy, unknown keys are ignored, and an error contains the index of the class it
// concerns.
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
	for input, want := range map[string]struct {
		class int
		text  string
	}{
		`{`:                                     {NoClass, "settings: unexpected end of JSON input"},
		`{"classes": [{"semantics": "maybe"}]}`: {0, `settings: class 0: unknown semantics "maybe"`},
	} {
		_, err := ParseSettings([]byte(input))
		if got := (*SettingsError)(nil); !errors.As(err, &got) || got.Class != want.class || err.Error() != want.text {
			t.Errorf("%s: %v, want %q", input, err, want.text)
		}
	}
	if fromMillis(math.NaN()) != 0 || fromMillis(math.Inf(1)) != 0 {
		t.Error("NaN and infinity must count as absent")
	}
}
