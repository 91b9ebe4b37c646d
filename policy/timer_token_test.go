package policy

import (
	"math"
	"testing"
)

func TestTimerTokens(t *testing.T) {
	for _, want := range []timerToken{
		{kind: housekeepingTimer},
		{kind: subscribeTimer},
		{kind: deadlineTimer, request: 1},
		{kind: deadlineTimer, request: math.MaxUint32},
		{kind: hedgeTimer},
		{kind: hedgeTimer, request: math.MaxUint32},
	} {
		if got := decodeTimerToken(want.encode()); got != want {
			t.Errorf("%+v is decoded as %+v", want, got)
		}
	}
	if got := decodeTimerToken(2); got.kind != unknownTimer {
		t.Errorf("an unknown token is decoded as %+v", got)
	}
}
