package workerclient

import (
	"fmt"
	"strconv"
	"time"

	"crankhold/policy"
)

// The names of the commands that are sent to workers.
const (
	nameRun  = "RUN"  // runs a function: id, fields, body
	nameStop = "STOP" // cancels a RUN, whose response nobody waits for any more: id
	nameHold = "HOLD" // loads replicas of a function, or asks how many there are: id, fields
	nameFree = "FREE" // unloads the idle replicas of a function, and has no response: its key
	nameInfo = "INFO" // checks health and asks for a load report: id
	nameNoop = "NOOP" // asks for a sign of life: id
)

// recoveryPingID is the id of the NOOP that a recovery dial sends; it is the only command on its connection.
const recoveryPingID = "t"

// The ids of commands that this program numbers. They begin with a letter that no request's id, which is hexadecimal,
// begins with, so that none can be taken for another.
func loadID(commandID uint64) string        { return "h" + strconv.FormatUint(commandID, 10) }
func healthCheckID(commandID uint64) string { return "p" + strconv.FormatUint(commandID, 10) }
func pingID(sequence uint64) string         { return "n" + strconv.FormatUint(sequence, 10) }

// encodeRun returns a RUN up to its body. The budget is written in whole milliseconds, 1 at the least.
func encodeRun(id string, request *requestCommand, budget time.Duration) []byte {
	fields := fmt.Sprintf("queue=%s,path=%s,budget=%d",
		request.class, request.functionKey, max(budget.Milliseconds(), 1))
	if request.idempotencyKey != "" {
		fields += ",uniq=" + request.idempotencyKey
	}
	return encodeHeader(len(request.body), nameRun, id, fields)
}

func encodeStop(id string) []byte { return encodeArray(nameStop, id) }

// encodeHold returns a HOLD; a count of 0 only asks.
func encodeHold(id string, function policy.FunctionID, count int) []byte {
	return encodeArray(nameHold, id, fmt.Sprintf("path=%016x,count=%d", uint64(function), count))
}

func encodeFree(function policy.FunctionID) []byte {
	return encodeArray(nameFree, fmt.Sprintf("%016x", uint64(function)))
}

func encodeInfo(id string) []byte { return encodeArray(nameInfo, id) }

func encodeNoop(id string) []byte { return encodeArray(nameNoop, id) }
