package discovery

import (
	"encoding/binary"
	"errors"
	"fmt"
	"testing"
	"time"

	"crankhold/policy"
)

// A newer list replaces the current one, and an invalid or outdated response changes nothing.
func TestNewerListsAreApplied(t *testing.T) {
	d := newTestClient(t)
	if len(d.list) != 1 {
		t.Fatalf("list %v", d.list)
	}
	d.sockets.current.Data(responseTo(d.query(), 4, 0, 1))
	want := []Worker{{Name: "s-0", Addrs: tcp4Addrs("10.1.0.0:10080"), Zone: "east", Kind: "std", State: policy.Ready, Weight: 4, Cell: policy.KnownGroup(2), Started: 5},
		{Name: "s-1", Addrs: tcp4Addrs("10.1.0.1:10080"), Zone: "east", Kind: "std", State: policy.Draining, Weight: 4, Cell: policy.KnownGroup(2), Started: 5}}
	if fmt.Sprint(d.list) != fmt.Sprint(want) {
		t.Fatalf("list %v, want %v", d.list, want)
	}
	// An invalid or outdated response changes nothing.
	d.sockets.current.Data(responseTo(d.query(), 3)) // outdated
	id := d.query()
	d.sockets.current.Data(responseTo(id+1, 9, 0)) // matches no query of this client
	completed := d.query()
	d.sockets.current.Data(responseTo(completed, 4, 0, 1))
	d.sockets.current.Data(responseTo(completed, 9, 0)) // matches a query that has had its response
	for name, damage := range map[string]func(b []byte) []byte{
		"truncated": func(b []byte) []byte { b[2] |= 2; return b },
		"failed":    func(b []byte) []byte { b[3] |= 2; return b },
		"a query":   func(b []byte) []byte { b[2] &^= 0x80; return b },
		"other":     func(b []byte) []byte { b[13] = 'x'; return b },
	} {
		if d.sockets.current.Data(damage(responseTo(d.query(), 9, 0))); fmt.Sprint(d.list) != fmt.Sprint(want) {
			t.Errorf("%s: list became %v", name, d.list)
		}
	}
	whole := responseTo(0, 9, 0)
	for cut := range whole {
		id := d.query()
		b := responseTo(id, 9, 0)[:cut]
		if d.sockets.current.Data(b); fmt.Sprint(d.list) != fmt.Sprint(want) {
			t.Fatalf("cut at %d of %d: list became %v", cut, len(whole), d.list)
		}
	}
	late := d.query()
	for range 3 { // a response still counts after further queries
		d.query()
	}
	if d.sockets.current.Data(responseTo(late, 5, 0)); len(d.list) != 1 {
		t.Errorf("after a late response the list is %v", d.list)
	}
	if d.sockets.current.Closed(errors.New("refused")); d.sockets.current != nil || d.schedule.next > d.now+redialDelay {
		t.Error("a lost socket isn't opened again after redialDelay")
	}
	d.Tick(d.schedule.next)
	d.sockets.current.DialCompleted(nil)
	if d.sockets.current.Data(responseTo(d.query(), 6, 0, 0)); len(d.list) != 2 {
		t.Errorf("after a new socket the list is %v", d.list)
	}
}

// A client sends few queries, because all routers share one discovery server, and jitter spreads them over time. Three
// queries are sent within the 2.5 s after which no new work may be sent to a draining worker, however many queries are
// lost.
func TestPollRateAndJitter(t *testing.T) {
	run := func(seed uint64, until time.Duration, respond func(n int) (serial uint32, ok bool)) (sentAt []time.Duration) {
		d := newTestClientWithConfig(t, Config{Seed: seed})
		start := d.now
		for now := d.now; now < start+until; now += time.Millisecond {
			transport := d.transports[len(d.transports)-1]
			transport.Written.Reset()
			d.Tick(now)
			if b := transport.Written.Bytes(); len(b) > 0 {
				sentAt = append(sentAt, now-start)
				if serial, ok := respond(len(sentAt)); ok {
					d.sockets.current.Data(responseTo(binary.BigEndian.Uint16(b), serial, 0))
				}
			}
		}
		return sentAt
	}
	first := map[time.Duration]int{}
	for seed := range uint64(40) {
		queryTimes := run(seed, 10*time.Second, func(int) (uint32, bool) { return 3, true })
		if len(queryTimes) > 18 {
			t.Fatalf("%d queries in 10 s although each had a response", len(queryTimes))
		}
		first[queryTimes[0]]++
		if queryTimes[0] > initialBackoff {
			t.Fatalf("the first query came after %v", queryTimes[0])
		}
		for i := 3; i < len(queryTimes); i++ {
			if gap := queryTimes[i] - queryTimes[i-3]; gap > 2*time.Second+500*time.Millisecond-roundTripAllowance {
				t.Fatalf("three queries took %v", gap)
			}
		}
		// After a lost or an outdated response the query is repeated soon, and then with backoff.
		for name, damage := range map[string]func(int) (uint32, bool){
			"lost": func(int) (uint32, bool) { return 0, false }, "old": func(int) (uint32, bool) { return 2, true }} {
			faulty := run(seed, 10*time.Second, damage)
			if gap := faulty[1] - faulty[0]; gap > initialBackoff {
				t.Fatalf("%s: repeated after %v", name, gap)
			}
			if len(faulty) > 20 {
				t.Fatalf("%s: %d queries in 10 s", name, len(faulty))
			}
		}
	}
	if len(first) < 20 {
		t.Fatalf("40 routers send their first query at %d different times", len(first))
	}
}
