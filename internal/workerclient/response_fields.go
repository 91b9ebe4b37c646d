package workerclient

import (
	"bytes"
	"strconv"

	"crankhold/policy"
)

// maxConcurrency is the largest concurrency that a response may report: no worker's queue holds so many requests.
const maxConcurrency = 1 << 20

// responseFields is a list of the form name=value,name=value. An empty list is "-".
type responseFields []byte

// holdsLineEnd reports whether a part of the list is a line end. Neither a name nor a value can hold one, so the length
// of the list, or of an element before it, does not fit.
func (f responseFields) holdsLineEnd() bool { return bytes.Contains(f, lineEnd) }

// The names of the fields of responses.
const (
	fieldDetail      = "detail" // how the replica came to be loaded
	fieldConcurrency = "crowd"  // requests for the function that the worker had
	fieldUse         = "use"    // the load report
	fieldCount       = "count"  // replicas that were loaded
)

// loadStatusByDetail maps the values of the field detail to load statuses.
var loadStatusByDetail = map[string]policy.LoadStatus{
	"hot":     policy.AlreadyLoaded,
	"started": policy.StartedLoad,
	"waited":  policy.WaitedForLoad,
	"broken":  policy.LoadFailed,
}

// get returns the value of a field, or nil if there is no field of that name.
func (f responseFields) get(name string) []byte {
	list := []byte(f)
	for len(list) > 0 {
		var pair []byte
		pair, list, _ = bytes.Cut(list, []byte{','})
		key, value, ok := bytes.Cut(pair, []byte{'='})
		if ok && string(key) == name {
			return value
		}
	}
	return nil
}

// loadStatus returns the value of the field detail, or the zero LoadStatus if the field is absent or unknown.
func (f responseFields) loadStatus() policy.LoadStatus {
	return loadStatusByDetail[string(f.get(fieldDetail))]
}

// replicas returns how many replicas a HOLD found or loaded, or 0 if the response does not say.
func (f responseFields) replicas() int {
	count, _ := strconv.Atoi(string(f.get(fieldCount)))
	return count
}

// concurrency returns how many requests for the function the worker had, or 0 if the response does not say. ok is false
// for a value that is not a number from 0 to maxConcurrency.
func (f responseFields) concurrency() (count int, ok bool) {
	text := f.get(fieldConcurrency)
	if len(text) == 0 {
		return 0, true
	}
	count, err := strconv.Atoi(string(text))
	if err != nil || count < 0 || count > maxConcurrency {
		return 0, false
	}
	return count, true
}

// loadReport returns the values of the field use, which has the form name:value;name:value, in the order of names. It
// returns nil for a report that lacks one of the names.
func (f responseFields) loadReport(names []string) []float64 {
	text := f.get(fieldUse)
	if len(text) == 0 {
		return nil
	}
	report := make([]float64, len(names))
	found := 0
	for len(text) > 0 {
		var pair []byte
		pair, text, _ = bytes.Cut(text, []byte{';'})
		name, value, _ := bytes.Cut(pair, []byte{':'})
		found += setReportValue(report, names, name, value)
	}
	if found < len(report) {
		return nil
	}
	return report
}

// setReportValue sets the value of a name in report and returns how many values it set.
func setReportValue(report []float64, names []string, name, value []byte) (set int) {
	for i := range names {
		if string(name) != names[i] {
			continue
		}
		number, err := strconv.ParseFloat(string(value), 64)
		if err == nil {
			report[i] = number
			set++
		}
	}
	return set
}
