package workerclient

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crankhold/internal/router"
	"crankhold/policy"
)

// bodyTokens are the parts of drawn bodies: what RESP gives a meaning to, and other bytes. The type of an array is not
// among them, because a body that holds the start of a response can't be told from a response.
var bodyTokens = rapid.SampledFrom([]string{"\r\n", "\r", "\n", "$", "3", "$3\r\n", "HIT", "-", "a", "\x00", "\xff"})

// lengthProperty is a pool with requests in flight on one connection, and the responses of its worker.
type lengthProperty struct {
	*testPool
	bodies    []string // by request
	responses [][]byte // by request; one may be spoilt
	spoilt    int      // index of the request whose response has a wrong length
	wrong     int      // position of that length
	idLegible bool     // the id of that response can be read
}

// drawLengthProperty draws responses, one of which has a wrong length.
func drawLengthProperty(t *rapid.T, body *rapid.Generator[string]) *lengthProperty {
	l := &lengthProperty{testPool: newTestPool(func(cfg *Config) { cfg.MaxRequestsPerConnection = 32 })}
	requests := rapid.IntRange(1, 3).Draw(t, "requests")
	for i := range requests {
		l.StartAttempt(1, router.Attempt{Request: policy.RequestID(i)}, newRequest(modelRequestID(i)), time.Minute)
		l.bodies = append(l.bodies, body.Draw(t, "body"))
		l.responses = append(l.responses, encodeResponse(modelRequestID(i), "HIT", l.bodies[i]))
	}
	l.transports[0].handler.DialCompleted(nil)
	l.spoilt = rapid.IntRange(0, requests-1).Draw(t, "spoilt")
	l.wrong = rapid.IntRange(arrayLength, bodyElement).Draw(t, "wrong length")
	response := [responseElements]string{modelRequestID(l.spoilt), "HIT", "-", l.bodies[l.spoilt]}
	delta := wrongLengths(l.bodies[l.spoilt]).Draw(t, "delta")
	l.responses[l.spoilt] = encodeWithWrongLength(response, l.wrong, delta)
	negativeArray := l.wrong == arrayLength && delta < -responseElements
	l.idLegible = l.wrong != idElement && !negativeArray
	return l
}

// wrongLengths draws by how much a length of a response with that body is off. In every second draw it is one with which
// the body ends at a line end within it, if there is one.
func wrongLengths(body string) *rapid.Generator[int] {
	anyLength := rapid.IntRange(-len(body)-4, 30).Filter(func(delta int) bool { return delta != 0 })
	var lineEnds []int
	for i := range body {
		if strings.HasPrefix(body[i:], "\r\n") {
			lineEnds = append(lineEnds, i-len(body))
		}
	}
	if len(lineEnds) == 0 {
		return anyLength
	}
	return rapid.OneOf(rapid.SampledFrom(lineEnds), anyLength)
}

// check fails the test if a request was served with another body than its worker's, or the spoilt response was used.
func (l *lengthProperty) check(t *rapid.T) {
	for i, body := range l.bodies {
		a := router.Attempt{Request: policy.RequestID(i)}
		switch outcomes := l.recorder.outcomes[a]; {
		case len(outcomes) == 0:
		case i == l.spoilt, len(outcomes) > 1, string(l.recorder.results[a].Body) != body:
			t.Fatalf("request %d: outcomes %v, body %q, made by its worker: %q", i, outcomes, l.recorder.results[a].Body, body)
		}
	}
}

// Guards against a body that ends early, at a line end within it, because its length is too small: the rest of it, which
// is no response, stands in the same read. What is served is what a worker framed, byte for byte, with the responses to
// other requests before and behind a spoilt one. A response before it is served if the id behind it can be read.
func TestServedBodiesAreWhatWorkersFramed(t *testing.T) {
	body := rapid.Custom(func(t *rapid.T) string {
		return string(bytes.Join(toBytes(rapid.SliceOfN(bodyTokens, 0, 12).Draw(t, "tokens")), nil))
	})
	rapid.Check(t, func(t *rapid.T) {
		l := drawLengthProperty(t, body)
		l.transports[0].handler.Data(bytes.Join(l.responses, nil))
		l.check(t)
		if !l.idLegible {
			return
		}
		for i := range l.spoilt {
			if len(l.recorder.outcomes[router.Attempt{Request: policy.RequestID(i)}]) != 1 {
				t.Fatalf("request %d, whose response is whole and before the spoilt one, was not served", i)
			}
		}
	})
}

func toBytes(tokens []string) (parts [][]byte) {
	for _, token := range tokens {
		parts = append(parts, []byte(token))
	}
	return parts
}

// The same with reads that end anywhere. Nothing follows a spoilt response, because its connection is of no further use,
// and no body has a line end: a read that ends there can't be told from the end of the body.
func TestServedBodiesAreWhatWorkersFramedInAnyReads(t *testing.T) {
	body := rapid.Map(rapid.SliceOfN(rapid.Byte().Filter(func(b byte) bool { return b != '\n' }), 0, 40),
		func(b []byte) string { return string(b) })
	rapid.Check(t, func(t *rapid.T) {
		l := drawLengthProperty(t, body)
		data := bytes.Join(l.responses[:l.spoilt+1], nil)
		for len(data) > 0 {
			n := rapid.IntRange(1, len(data)).Draw(t, "read")
			l.transports[0].handler.Data(data[:n])
			data = data[n:]
		}
		l.check(t)
	})
}
