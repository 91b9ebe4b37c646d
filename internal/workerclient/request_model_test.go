package workerclient

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crankhold/internal/router"
	"crankhold/policy"
)

// The model of a connection: every request ends once, with Reset only if it was written, and never by
// a response to an attempt before it that was cancelled.
func TestEachRequestEndsOnceWithItsOwnResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPool()
		next, out, up := 0, []router.Attempt{}, map[*fakeTransport]bool{}
		drop := func(i int) { out = append(out[:i], out[i+1:]...) }
		wrote := func(id string) (on []*fakeTransport) {
			for _, transport := range p.transports {
				if strings.Contains(transport.Written.String(), id) {
					on = append(on, transport)
				}
			}
			return on
		}
		responded := map[*fakeTransport]map[string]int{}
		runs := func(transport *fakeTransport, id string) int {
			return strings.Count(transport.Written.String(), "RUN\r\n$16\r\n"+id)
		}
		id := func(a router.Attempt) string { return fmt.Sprintf("%016x", int(a.Request)) }
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				next++
				a := router.Attempt{Request: policy.RequestID(next)}
				p.StartAttempt(1, a, newRequest(id(a)), time.Second)
				out = append(out, a)
			},
			"again": func(t *rapid.T) { // cancelled, and sent again to the same worker under the same id
				if len(out) == 0 {
					return
				}
				i := rapid.IntRange(0, len(out)-1).Draw(t, "i")
				a := out[i]
				if len(p.recorder.outcomes[a]) > 0 {
					return
				}
				late := map[*fakeTransport]bool{} // connections on which a response to an earlier attempt is due
				for _, transport := range p.transports {
					late[transport] = runs(transport, id(a)) > responded[transport][id(a)]
				}
				p.CancelAttempt(1, a)
				drop(i)
				b := router.Attempt{Request: a.Request, Number: a.Number + 1}
				p.StartAttempt(1, b, newRequest(id(b)), time.Second)
				out = append(out, b)
				for _, transport := range p.transports {
					if late[transport] && !transport.Closed {
						if responded[transport] == nil {
							responded[transport] = map[string]int{}
						}
						responded[transport][id(b)]++
						transport.handler.Data([]byte("*4\r\n$16\r\n" + id(b) + "\r\n$3\r\nHIT\r\n$1\r\n-\r\n$3\r\nold\r\n"))
					}
				}
				if string(p.recorder.results[b].Body) == "old" {
					t.Fatal("the response to the first attempt ended the second")
				}
			},
			"dial": func(t *rapid.T) {
				for _, transport := range p.transports {
					if !up[transport] && !transport.Closed {
						up[transport] = true
						if rapid.Bool().Draw(t, "fails") {
							transport.Closed = true
							transport.handler.DialCompleted(errors.New("refused"))
						} else {
							transport.handler.DialCompleted(nil)
						}
						return
					}
				}
			},
			"reset": func(t *rapid.T) {
				for _, transport := range p.transports {
					if up[transport] && !transport.Closed {
						transport.Closed = true
						transport.handler.Closed(errors.New("reset"))
						return
					}
				}
			},
			"drain": func(t *rapid.T) { // what waits behind a dial ends unsent at once
				p.SetWorker(1, tcp4("127.0.0.1:1"), policy.Draining)
				for _, a := range out {
					if len(p.recorder.outcomes[a]) == 0 && len(wrote(id(a))) == 0 {
						t.Fatalf("%v still waits to be sent to a draining worker", a)
					}
				}
				p.SetWorker(1, tcp4("127.0.0.1:1"), policy.Ready)
			},
			"": func(t *rapid.T) {
				for _, transport := range p.transports {
					if text := transport.Written.String(); strings.Count(text, "STOP\r\n") > strings.Count(text, "RUN\r\n") {
						t.Fatalf("gave up what was never sent: %q", text)
					}
				}
				for a, o := range p.recorder.outcomes {
					if len(o) != 1 {
						t.Fatalf("%v ended %v", a, o)
					}
					if o[0] == policy.ConnectionReset && len(wrote(id(a))) == 0 {
						t.Fatalf("%v was never written but counts as reset", a)
					}
				}
			},
		})
	})
}
