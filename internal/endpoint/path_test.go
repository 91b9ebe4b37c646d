package endpoint

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crankhold/internal/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

const ms = time.Millisecond

var (
	sock = Addr{Unix, "/run/w.sock"}
	six  = Addr{TCP6, "[::1]:80"}
	six2 = Addr{TCP6, "[::2]:80"}
	four = Addr{TCP4, "127.0.0.1:80"}
	far  = Addr{TCP4, "127.0.0.2:80"}
)

func TestParse(t *testing.T) {
	for _, c := range []struct {
		n    Network
		text string
		want string // "" where it is refused
	}{
		{TCP4, "127.0.0.1:80", "127.0.0.1:80"}, {TCP4, "127.0.0.1:0", ""}, {TCP4, "0.0.0.0:80", ""}, {TCP4, "224.0.0.1:80", ""}, {TCP4, "[::1]:80", ""},
		{TCP4, "worker7.example.org:80", ""}, {TCP6, "[::1]:80", "[::1]:80"}, {TCP6, "[0:0:0:0:0:0:0:1]:80", "[::1]:80"}, {TCP6, "::1:80", ""},
		{TCP6, "[::ffff:127.0.0.1]:80", ""}, {TCP6, "[::]:80", ""}, {TCP6, "[ff02::1]:80", ""}, {TCP6, "[fe80::1%eth0]:80", "[fe80::1%eth0]:80"},
		{TCP6, "[fd00::1%eth0]:80", ""}, {TCP6, "[fe80::1%an-interface-too-long]:80", ""}, {TCP6, "127.0.0.1:80", ""},
		{Unix, "/run/w.sock", "unix:/run/w.sock"}, {Unix, "run/w.sock", ""}, {Unix, "", ""}, {Unix, "/a\x00b", ""},
		{Unix, "/" + strings.Repeat("x", 106), "unix:/" + strings.Repeat("x", 106)}, {Unix, "/" + strings.Repeat("x", 107), ""},
	} {
		a, err := Parse(c.n, c.text)
		if c.want == "" && err == nil || c.want != "" && (err != nil || a.String() != c.want) {
			t.Errorf("%v %.40q: %v, %v, want %q", c.n, c.text, a, err, c.want)
		}
	}
}

func TestOrder(t *testing.T) {
	for _, c := range []struct {
		prefer []Network
		want   []Addr
	}{
		{nil, []Addr{sock, six, four, six2, far}},
		{[]Network{TCP4}, []Addr{four, six, far, six2, sock}},
		{[]Network{TCP6, TCP4, Unix}, []Addr{six, four, six2, far, sock}},
		{[]Network{TCP4, Unix, TCP4}, []Addr{four, six, far, six2, sock}},
	} {
		s := NewAddressSet(1, c.prefer...)
		s.Update(0, []Addr{four, far, six, six2, sock, four})
		if got := s.Candidates(); !slices.Equal(got, c.want) {
			t.Errorf("%v: %v, want %v", c.prefer, got, c.want)
		}
	}
	s := NewAddressSet(1)
	var many []Addr
	for i := range 20 {
		many = append(many, Addr{TCP4, fmt.Sprintf("127.0.0.%d:80", i+1)})
	}
	if s.Update(0, many); s.Len() != MaxAddresses {
		t.Errorf("%d addresses of one worker, at most %d", s.Len(), MaxAddresses)
	}
}

// A failed address takes no calls until a trial has come up; all others come first, and where all have failed nothing
// is lost by trying.
func TestFailedAddressCountsAgainAfterATrial(t *testing.T) {
	s := NewAddressSet(1)
	s.Update(0, []Addr{sock, four})
	s.Failed(0, sock)
	if got := s.Candidates(); !slices.Equal(got, []Addr{four}) {
		t.Fatalf("candidates %v", got)
	}
	if a, ok := s.NextRecoveryDial(100 * ms); ok {
		t.Fatalf("a trial of %v at once", a)
	}
	if a, ok := s.NextRecoveryDial(700 * ms); !ok || a != sock {
		t.Fatalf("no trial: %v", a)
	}
	if _, ok := s.NextRecoveryDial(700 * ms); ok {
		t.Fatal("two trials of one address at once")
	}
	if got := s.Candidates(); !slices.Equal(got, []Addr{four}) {
		t.Fatalf("candidates %v under a trial", got)
	}
	s.Succeeded(720*ms, sock)
	if got := s.Candidates(); !slices.Equal(got, []Addr{sock, four}) || s.Unavailable() != 0 {
		t.Fatalf("candidates %v after a trial", got)
	}
	s.Failed(time.Second, four)
	s.Failed(2*time.Second, sock)
	if got := s.Candidates(); !slices.Equal(got, []Addr{four, sock}) {
		t.Errorf("all are down: %v, want the one whose back-off ends first", got)
	}
	one := NewAddressSet(1)
	one.Update(0, []Addr{four})
	one.Failed(0, four)
	if _, ok := one.NextRecoveryDial(time.Hour); ok || len(one.Candidates()) != 1 {
		t.Error("a single address is tried by calls")
	}
}

// Back-off doubles with each failure up to its most, spread by a quarter either way, and forgets after a time of
// being well. Many connections that end together are one failure.
func TestBackoff(t *testing.T) {
	s := NewAddressSet(7)
	s.Update(0, []Addr{sock, four})
	now, spread := time.Duration(0), map[time.Duration]bool{}
	for i := range 9 {
		for range 5 {
			s.Failed(now, sock)
		}
		wait := min(firstBackoff<<i, mostBackoff)
		if _, ok := s.NextRecoveryDial(now + wait*3/4 - ms); ok {
			t.Fatalf("failure %d: a trial too soon", i+1)
		}
		if _, ok := s.NextRecoveryDial(now + wait*5/4 + ms); !ok {
			t.Fatalf("failure %d: no trial after %v", i+1, wait*5/4)
		}
		spread[s.find(sock).until-now-wait] = true
		now += wait * 5 / 4
		s.Succeeded(now, sock)
	}
	if len(spread) < 6 {
		t.Errorf("%d different spreads of 9", len(spread))
	}
	now += forgetAfter + time.Second
	s.Failed(now, sock)
	if _, ok := s.NextRecoveryDial(now + time.Second); !ok {
		t.Error("failures are not forgotten")
	}
	s.RecoveryInconclusive(now+time.Second, sock)
	if _, ok := s.NextRecoveryDial(now + time.Second + firstBackoff); !ok {
		t.Error("a trial that told nothing is not made again")
	}
}

// Calls go back to a better address once it has been well for a time, so that a flapping one draws none; a silent
// one is tried last and is no better.
func TestGoingBack(t *testing.T) {
	s := NewAddressSet(1)
	s.Update(0, []Addr{sock, four})
	if s.HasBetter(time.Hour, sock) || !s.HasBetter(time.Hour, four) {
		t.Error("the better address is not the first one")
	}
	now := time.Hour
	for range 200 { // fails every 100 ms
		now += 100 * ms
		s.Failed(now, sock)
		if a, ok := s.NextRecoveryDial(now + 50*ms); ok {
			s.Succeeded(now+50*ms, a)
		}
		if s.HasBetter(now+60*ms, four) {
			t.Fatal("calls go back to a flapping address")
		}
	}
	if s.find(sock).failures < 4 {
		t.Errorf("%d failures counted over 20 s of flapping", s.find(sock).failures)
	}
	s.Succeeded(now, sock)
	if s.HasBetter(now+4*time.Second, four) || !s.HasBetter(now+6*time.Second, four) {
		t.Error("calls don't go back after 5 s of being well")
	}
	s.Suspect(now+6*time.Second, sock)
	if s.HasBetter(now+7*time.Second, four) || s.Candidates()[0] != four {
		t.Error("a silent address comes first")
	}
	if s.Responded(sock); s.Candidates()[0] != sock {
		t.Error("an address that was heard again is still suspected")
	}
	s.Update(now, []Addr{sock})
	if !s.HasBetter(now+time.Minute, four) {
		t.Error("connections to an address that is no longer listed stay")
	}
}

// What is known of an address stays with it over a new list, and goes with it: one that comes back, or comes to
// another worker, inherits nothing.
func TestStateGoesWithTheAddress(t *testing.T) {
	s := NewAddressSet(1)
	s.Update(0, []Addr{sock, four})
	s.Failed(0, sock)
	s.Update(0, []Addr{four, sock, six})
	if s.Unavailable() != 1 {
		t.Error("a failure is forgotten over a new list")
	}
	s.Update(0, []Addr{four})
	s.Update(0, []Addr{four, sock})
	if s.Unavailable() != 0 {
		t.Error("an address that comes anew inherits a failure")
	}
}

// The model of a race: at most MaxDialsPerWorker at once, each address once, the next at once when one fails, a lost race told
// once and only when nothing is left, one winner.
func TestRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []Addr
		for i := range rapid.IntRange(1, MaxAddresses).Draw(t, "addresses") {
			list = append(list, Addr{TCP4, fmt.Sprint(i)})
		}
		limit, left := 250*ms, time.Duration(rapid.IntRange(0, 3000).Draw(t, "left"))*ms
		r, now := NewDialRace(list, limit, left), time.Duration(0)
		var tried []Addr
		out, won, over, last := 0, 0, false, time.Duration(0)
		for range 200 {
			room := rapid.Bool().Draw(t, "room")
			if a, ok := r.Next(now, room); ok {
				if over || won > 0 || slices.Contains(tried, a) || out > 0 && (!room || now-last < ms) {
					t.Fatalf("dials %v: over %v, won %d, tried %v, %d out, room %v", a, over, won, tried, out, room)
				}
				tried = append(tried, a)
				out++
				last = now
			} else if out == 0 && won == 0 && len(tried) < len(list) {
				t.Fatal("nothing is under way, addresses are left, and none is tried")
			}
			if out > MaxDialsPerWorker || r.Out() != out {
				t.Fatalf("%d dials under way, %d counted", out, r.Out())
			}
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				if out > 0 {
					out--
					if r.Ended() {
						if over || won > 0 || len(tried) < len(list) || out > 0 {
							t.Fatal("the race is told to be lost and is not")
						}
						over = true
					}
				}
			case 1:
				if out > 0 {
					out--
					if r.Won() != (won == 0) {
						t.Fatal("two winners")
					}
					won++
				}
			default:
				now += time.Duration(rapid.IntRange(1, 300).Draw(t, "passes")) * ms
			}
		}
		if left > 0 && len(list) > 1 && r.wait > max(left/time.Duration(2*len(list)), ms) {
			t.Fatalf("%v between dials, with %v left for %d addresses", r.wait, left, len(list))
		}
	})
}

func TestGroups(t *testing.T) {
	words := func(list []Entry) string {
		var out []string
		for _, g := range GroupAliases(list) {
			out = append(out, GroupName(list, g))
		}
		return strings.Join(out, " ")
	}
	for _, c := range []struct {
		name, want string
		list       []Entry
	}{
		{"apart", "a b", []Entry{{"b", []Addr{four}, ""}, {"a", []Addr{six}, ""}}},
		{"one address of two", "a+b c", []Entry{{"b", []Addr{four, six}, ""}, {"a", []Addr{sock, four}, ""}, {"c", []Addr{far}, ""}}},
		{"a chain", "a+b+c", []Entry{{"a", []Addr{four}, ""}, {"c", []Addr{six}, ""}, {"b", []Addr{six, four}, ""}}},
		{"by name", "a+b", []Entry{{"a", []Addr{four}, ""}, {"b", []Addr{six}, "a"}}},
		{"by a name that is not listed", "b", []Entry{{"b", []Addr{six}, "a"}}},
		{"swapped in one update", "a b", []Entry{{"a", []Addr{six}, ""}, {"b", []Addr{four}, ""}}},
	} {
		if got := words(c.list); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}
