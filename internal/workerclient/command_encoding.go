package workerclient

import (
	"fmt"
	"strconv"
	"time"

	"crankhold/policy"
)

// The names of the commands to workers. Each comment ends with the elements that follow the name.
const (
	nameRun  = "RUN"  // runs a function: id, fields, body
	nameStop = "STOP" // cancels a RUN whose response is no longer awaited: id
	nameHold = "HOLD" // loads replicas of a function, or asks how many are loaded: id, fields
	nameFree = "FREE" // unloads the idle replicas of a function, and has no response: function key
	nameInfo = "INFO" // checks health and asks for a load report: id
	nameNoop = "NOOP" // asks for a response only, to check that the connection works: id
)

// recoveryPingID is the id of the NOOP that a recovery dial sends, which is the only command on its connection.
const recoveryPingID = "t"

// The ids of load commands, health checks and keepalive pings. Each kind has its own first letter, which is not a
// hexadecimal digit, so that ids of different kinds can't collide, nor collide with the hexadecimal ids of requests.
func loadID(commandID uint64) string        { return "h" + strconv.FormatUint(commandID, 10) }
func healthCheckID(commandID uint64) string { return "p" + strconv.FormatUint(commandID, 10) }
func pingID(sequence uint64) string         { return "n" + strconv.FormatUint(sequence, 10) }

// encodeRun returns a RUN up to the start of its body. The budget is written in whole milliseconds, at least 1.
func encodeRun(id string, request *requestCommand, budget time.Duration) []byte {
	fields := fmt.Sprintf("queue=%s,path=%s,budget=%d",
		request.class, request.functionKey, max(budget.Milliseconds(), 1))
	if request.idempotencyKey != "" {
		fields += ",uniq=" + request.idempotencyKey
	}
	return encodeHeader(len(request.body), nameRun, id, fields)
}

func encodeStop(id string) []byte { return encodeArray(nameStop, id) }

// encodeHold returns a HOLD. With a count of 0 it only asks for the number of replicas.
func encodeHold(id string, function policy.FunctionID, count int) []byte {
	return encodeArray(nameHold, id, fmt.Sprintf("path=%016x,count=%d", uint64(function), count))
}

func encodeFree(function policy.FunctionID) []byte {
	return encodeArray(nameFree, fmt.Sprintf("%016x", uint64(function)))
}

func encodeInfo(id string) []byte { return encodeArray(nameInfo, id) }

func encodeNoop(id string) []byte { return encodeArray(nameNoop, id) }
