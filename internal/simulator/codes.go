package simulator

import "crankhold/policy"

// Codes of event records.
const (
	codeResponseStarted      = 1
	codeAttemptCompleted     = 2
	codeRequestCanceled      = 3
	codeKill                 = 4
	codeHealthCheckCompleted = 5
	codeEndpointList         = 6
	codeTimerFired           = 7
	codeGossipReceived       = 8
	codeInit                 = 9
	codeRequestArrived       = 10
	codeLoadCompleted        = 11
)

// Codes of action records.
const (
	codeSetTimer             = 65
	codeCloseIdleConnections = 66
	codeFailRequest          = 67
	codeStartAttempt         = 69
	codeSendGossip           = 70
	codeSubscribe            = 71
	codeLoad                 = 72
	codeCheckHealth          = 73
	codeUnload               = 74
	codeLog                  = 75
	codeCancelAttempt        = 76
	codeFetchEndpoints       = 77
	codeReject               = 78
)

// outcomes are the outcomes by their codes.
var outcomes = [...]policy.Outcome{policy.Served, policy.Failed, policy.Overloaded, policy.TimedOut,
	policy.Unreachable, policy.ConnectionReset, policy.Canceled, policy.NotSent, policy.NotLoaded}
