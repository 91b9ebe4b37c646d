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
	nameStop = "STOP" // says that nobody waits for the response to a RUN any more: id
	nameHold = "HOLD" // loads replicas of a function, or asks how many there are: id, fields
	nameFree = "FREE" // unloads the idle replicas of a function: its key
	nameInfo = "INFO" // checks health and asks for a load report: id
	nameNoop = "NOOP" // asks for a sign of life: id
)

// recoveryPingID is the id of the NOOP that a recovery dial sends; it is the only command on its connection.
const recoveryPingID = "t"

// The ids of commands that this program numbers. They begin with a letter that no request's id, which is hexadecimal,
// begins with, so that none can be taken for another.
func loadID(tag uint64) string        { return "h" + strconv.FormatUint(tag, 10) }
func healthCheckID(tag uint64) string { return "p" + strconv.FormatUint(tag, 10) }
func pingID(sequence uint64) string   { return "n" + strconv.FormatUint(sequence, 10) }

// runParameters are what a RUN tells its worker.
type runParameters struct {
	id             string
	class          string
	functionKey    string
	idempotencyKey string // empty: none
	bodySize       int
}

// encodeRun returns a RUN up to its body. The budget is told in whole milliseconds, 1 at the least.
func encodeRun(run *runParameters, budget time.Duration) []byte {
	fields := fmt.Sprintf("queue=%s,path=%s,budget=%d", run.class, run.functionKey, max(budget.Milliseconds(), 1))
	if run.idempotencyKey != "" {
		fields += ",uniq=" + run.idempotencyKey
	}
	return encodeHeader(run.bodySize, nameRun, run.id, fields)
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
