package route

import "testing"

// Each rule is closer than all rules before it. Each request takes the rule with the same index, because that is the
// closest rule that matches it.
func TestMatcherPrefersTheCloserRule(t *testing.T) {
	pattern := mustParsePattern(t, "7f*")
	exact := Pattern{Prefix: 0x7f3a9c21e0b4d655, Digits: functionDigits}
	m := newMatcher(2)
	rules := []matchRule{
		{Pattern{}, "east", 0, Webhook, 0},
		{pattern, "", anyClass, anyFront, 1},
		{pattern, "", anyClass, Webhook, 2},
		{pattern, "", 0, anyFront, 3},
		{pattern, "east", anyClass, anyFront, 4},
		{exact, "", anyClass, anyFront, 5},
	}
	for n := range rules {
		if previous := m.add(rules[n]); previous != noRoute {
			t.Fatalf("rule %d: route %d already has the same rule", n, previous)
		}
		if again := m.add(rules[n]); again != rules[n].route {
			t.Fatalf("rule %d: added twice, add returned route %d", n, again)
		}
	}
	m.resolve()
	function := exact.Prefix
	for want, r := range []Request{
		{Webhook, 0, 0x10, "east"},
		{Thrift, 1, function + 1, ""},
		{Webhook, 1, function + 1, ""},
		{Webhook, 0, function + 1, "west"},
		{Webhook, 0, function + 1, "east"},
		{Webhook, 0, function, "east"},
	} {
		if got := m.match(r); got != routeIndex(want) {
			t.Errorf("%+v takes route %d, want %d", r, got, want)
		}
	}
	if got := m.match(Request{Thrift, 5, 0x10, ""}); got != noRoute {
		t.Errorf("a request that no rule matches takes route %d", got)
	}
}
