package simulator

import "crankhold/policy"

// Codes of event records.
const (
	codeFirst    = 1
	codeOutcome  = 2
	codeAborted  = 3
	codeKill     = 4
	codeHealth   = 5
	codeTargets  = 6
	codeReminder = 7
	codeMessage  = 8
	codeInit     = 9
	codeIncoming = 10
	codeReady    = 11
)

// Codes of action records.
const (
	codeAfter     = 65
	codeHangUp    = 66
	codeDrop      = 67
	codePlace     = 69
	codeTell      = 70
	codeSubscribe = 71
	codeMount     = 72
	codeAskLoad   = 73
	codeUnmount   = 74
	codeWriteLog  = 75
	codeStop      = 76
	codeSnapshot  = 77
	codeDecline   = 78
)

// outcomes are the outcomes by their codes.
var outcomes = [...]policy.Outcome{policy.Served, policy.Failed, policy.Overloaded, policy.TimedOut,
	policy.Unreachable, policy.ConnectionReset, policy.Canceled, policy.NotSent, policy.NotLoaded}
