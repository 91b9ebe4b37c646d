package policy

// timerKind is the purpose of a timer.
type timerKind uint8

// The kinds of timers.
const (
	unknownTimer      timerKind = iota // not a timer of this module
	housekeepingTimer                  // housekeeping is due
	subscribeTimer                     // the subscription to the endpoint list is to be retried
	deadlineTimer                      // a request needs its final response now
	hedgeTimer                         // a request may start its hedged attempt
)

// The encoding of timer tokens. The low 32 bits of the timers of a request hold its RequestID.
const (
	housekeepingToken = 0
	subscribeToken    = 1
	deadlineToken     = 1 << 32
	hedgeToken        = 1 << 33
)

// timerToken identifies a timer by its purpose and the request that it belongs to.
type timerToken struct {
	kind    timerKind
	request RequestID // only with deadlineTimer and hedgeTimer
}

// encode returns the token in the form that SetTimer, ClearTimer and TimerFired use.
func (t timerToken) encode() uint64 {
	switch t.kind {
	case subscribeTimer:
		return subscribeToken
	case deadlineTimer:
		return deadlineToken + uint64(t.request)
	case hedgeTimer:
		return hedgeToken + uint64(t.request)
	default:
		return housekeepingToken
	}
}

// decodeTimerToken decodes the token of a timer that fired.
func decodeTimerToken(token uint64) timerToken {
	switch {
	case token == housekeepingToken:
		return timerToken{kind: housekeepingTimer}
	case token == subscribeToken:
		return timerToken{kind: subscribeTimer}
	case token >= hedgeToken:
		return timerToken{kind: hedgeTimer, request: RequestID(token)}
	case token >= deadlineToken:
		return timerToken{kind: deadlineTimer, request: RequestID(token)}
	default:
		return timerToken{}
	}
}
