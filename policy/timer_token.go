package policy

// timerKind is what a timer of the decision module is for.
type timerKind uint8

// The kinds of timers.
const (
	unknownTimer      timerKind = iota // no timer of this module
	housekeepingTimer                  // the next housekeeping is due
	subscribeTimer                     // the endpoint list is to be subscribed to again
	deadlineTimer                      // a request needs its final response now
	hedgeTimer                         // a request may get its hedged attempt
)

// The form of a token as the router keeps it. Timers of a request have the request in the low 32 bits.
const (
	housekeepingToken = 0
	subscribeToken    = 1
	deadlineToken     = 1 << 32
	hedgeToken        = 1 << 33
)

// timerToken is what a timer is for, and the request that it belongs to.
type timerToken struct {
	kind    timerKind
	request RequestID // of a deadlineTimer or a hedgeTimer
}

// encode returns the token as SetTimer, ClearTimer and TimerFired carry it.
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

// decodeTimerToken returns the token of a timer that fired.
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
