package simulator

import "crankhold/policy"

// eventCode is the code of an event record. The comment beside each code is the simulator's name for the event.
type eventCode uint8

const (
	codeResponseStarted      eventCode = 1  // ACK_FIRST
	codeAttemptCompleted     eventCode = 2  // OUTCOME
	codeRequestCanceled      eventCode = 3  // ABORTED
	codeKill                 eventCode = 4  // KILL
	codeHealthCheckCompleted eventCode = 5  // HEALTH_RESULT
	codeEndpointList         eventCode = 6  // TARGETS
	codeTimerFired           eventCode = 7  // REMINDER
	codeGossipReceived       eventCode = 8  // MESSAGE
	codeInit                 eventCode = 9  // INIT
	codeRequestArrived       eventCode = 10 // INCOMING
	codeLoadCompleted        eventCode = 11 // READY_THERE
)

// actionCode is the code of an action record. The comment beside each code is the simulator's name for the action.
type actionCode uint8

const (
	codeSetTimer             actionCode = 65 // AFTER
	codeCloseIdleConnections actionCode = 66 // HANG_UP
	codeFailRequest          actionCode = 67 // DROP_REQUEST
	codeStartAttempt         actionCode = 69 // PLACE
	codeSendGossip           actionCode = 70 // TELL
	codeSubscribe            actionCode = 71 // SUBSCRIBE
	codeLoad                 actionCode = 72 // MOUNT
	codeCheckHealth          actionCode = 73 // ASK_LOAD
	codeUnload               actionCode = 74 // UNMOUNT
	codeLog                  actionCode = 75 // WRITE_LOG
	codeCancelAttempt        actionCode = 76 // STOP_ATTEMPT
	codeFetchEndpoints       actionCode = 77 // SNAPSHOT
	codeReject               actionCode = 78 // DECLINE
)

// outcomes maps each outcome's code, as its index, to the outcome.
var outcomes = [...]policy.Outcome{
	policy.Served,
	policy.Failed,
	policy.Overloaded,
	policy.TimedOut,
	policy.Unreachable,
	policy.ConnectionReset,
	policy.Canceled,
	policy.NotSent,
	policy.NotLoaded,
}
