package workerclient

// Counters counts events of connections.
type Counters struct {
	Dials               uint64 // started, without recovery dials
	DialsFailed         uint64
	RecoveryDials       uint64 // started
	RecoveryDialsFailed uint64
	RequestsResent      uint64 // resends of commands that an earlier connection had not sent whole
	Pings               uint64 // keepalive pings that were sent

	FormerProcessConnections uint64 // connections that were closed because another process has taken the worker's place

	// MalformedResponses counts the connections that were closed for a malformed response, by its violation.
	MalformedResponses [violationCount]uint64
}
