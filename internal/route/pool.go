package route

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"crankhold/policy"
)

// Pool is a pool of workers, as the decision module sees it: whom a call may go to, and whether a further
// attempt, order or spilled call is within its bounds. A table that replaces another takes the counts over.
type Pool struct {
	Spec      PoolSpec
	fallback  *Pool
	members   map[policy.WorkerID]bool
	loadShare float64 // of the ration of load orders
	*poolCounters
	loads *slidingWindow // of its own, or of all pools without a share
}

var _ policy.Pool = (*Pool)(nil)

// poolCounters is what happened in a pool.
type poolCounters struct {
	inFlight, peak             int
	requests, overflows        *slidingWindow
	ownLoads                   *slidingWindow // orders
	Requests, Overflows, Loads uint64
	CapacityExceeded           uint64 // times that the cap or the spill bound stood in the way
}

// overflowWindow is the time over which the bound on what spills is kept.
const overflowWindow = 10 * time.Second

// compilePools makes the pools of a spec and joins them to their fallbacks.
func compilePools(specs []PoolSpec, loads time.Duration) (map[string]*Pool, error) {
	pools, shared, rest := map[string]*Pool{}, newSlidingWindow(loads), 1.0
	for _, s := range specs {
		if pools[s.Name] != nil {
			return nil, fmt.Errorf("pool %q is there twice", s.Name)
		}
		pools[s.Name] = &Pool{Spec: s, poolCounters: &poolCounters{requests: newSlidingWindow(overflowWindow), overflows: newSlidingWindow(overflowWindow), ownLoads: newSlidingWindow(loads)}}
		rest -= max(s.LoadShare, 0)
	}
	if rest < -1e-9 {
		return nil, fmt.Errorf("the pools' shares of the load orders come to %.4g%%", 100*(1-rest))
	}
	for _, p := range pools {
		p.loads, p.loadShare = shared, max(rest, 0)
		if p.Spec.LoadShare != Unset {
			p.loads, p.loadShare = p.ownLoads, p.Spec.LoadShare
		}
		if p.Spec.Fallback != "" {
			if p.fallback = pools[p.Spec.Fallback]; p.fallback == nil {
				return nil, fmt.Errorf("pool %q: no pool %q", p.Spec.Name, p.Spec.Fallback)
			}
		}
		for q, n := p.fallback, 0; q != nil; q = q.fallback {
			if n++; n > len(pools) {
				return nil, fmt.Errorf("pool %q falls back in a circle", p.Spec.Name)
			}
		}
	}
	return pools, nil
}

// Contains tells whether a worker is one of the pool's.
func (p *Pool) Contains(w policy.WorkerID) bool { return p.members[w] }

// Size is how many workers of the list are the pool's.
func (p *Pool) Size() int { return len(p.members) }

// HasCapacity tells whether a further attempt may be in flight.
func (p *Pool) HasCapacity() bool {
	return p.Spec.MaxInFlight == Unset || p.inFlight < p.Spec.MaxInFlight
}

// InFlight and Peak are how many attempts are out, and how many were at most.
func (p *Pool) InFlight() int { return p.inFlight }

// Peak is the most attempts that were in flight at once.
func (p *Pool) Peak() int { return p.peak }

// RequestRouted counts a call that a route sends to the pool.
func (p *Pool) RequestRouted(now time.Duration) {
	p.Requests++
	p.requests.add(now)
}

// AttemptStarted counts an attempt as in flight.
func (p *Pool) AttemptStarted() {
	p.inFlight++
	p.peak = max(p.peak, p.inFlight)
}

// AttemptFinished takes back what Sent counted; each attempt ends once.
func (p *Pool) AttemptFinished() { p.inFlight-- }

// MayLoad tells whether a load order is within the pool's share of a ration of so many orders in the
// window of the ration.
func (p *Pool) MayLoad(now time.Duration, ration float64) bool {
	return p.loadShare >= 1 || float64(p.loads.upperBound(now)+1) <= p.loadShare*ration
}

// LoadStarted counts a load order.
func (p *Pool) LoadStarted(now time.Duration) {
	p.Loads++
	p.loads.add(now)
}

// Overflow returns where a call goes that the pool can't take, or nil where it has no fallback or its bound is
// reached. It counts the call.
func (p *Pool) Overflow(now time.Duration) policy.Pool {
	if p.fallback == nil {
		return nil
	}
	most := math.Inf(1)
	if p.Spec.OverflowShare != Unset {
		most = p.Spec.OverflowShare * float64(p.requests.lowerBound(now))
	}
	if p.Spec.OverflowRate != Unset {
		most = min(most, p.Spec.OverflowRate*overflowWindow.Seconds())
	}
	if float64(p.overflows.upperBound(now)+1) > most {
		p.CapacityExceeded++
		return nil
	}
	p.Overflows++
	p.overflows.add(now)
	p.fallback.RequestRouted(now)
	return p.fallback
}

// SetWorkers tells the table which workers there are.
func (t *Table) SetWorkers(list []Worker) {
	for _, p := range t.pools {
		p.members = map[policy.WorkerID]bool{}
	}
	for _, w := range list {
		w = w.withStatic(t.staticWorkers[w.Name])
		for _, p := range t.pools {
			if p.Spec.selects(w) {
				p.members[w.ID] = true
			}
		}
	}
}

// withStatic returns w withStatic what a static entry says of it, which goes first.
func (w Worker) withStatic(s Worker) Worker {
	if s.Name == "" {
		return w
	}
	if s.Kind != "" {
		w.Kind = s.Kind
	}
	if s.Zone != "" {
		w.Zone = s.Zone
	}
	if s.Cell >= 0 {
		w.Cell = s.Cell
	}
	if s.MemoryMB > 0 {
		w.MemoryMB = s.MemoryMB
	}
	w.Labels = s.Labels
	return w
}

func (s PoolSpec) selects(w Worker) bool {
	return len(s.Workers) == 0 || slices.ContainsFunc(s.Workers, func(l Selector) bool { return l.Matches(w) })
}

// Matches tells whether the selector fits a worker.
func (l Selector) Matches(w Worker) bool {
	for _, want := range l.Labels {
		v, ok := w.Labels[want.Name]
		if !ok || !slices.Contains(want.Values, v) {
			return false
		}
	}
	return matchesAny(l.IDs, w.Name) && matchesAny(l.Kinds, w.Kind) && matchesAny(l.Zones, w.Zone) && w.MemoryMB >= l.MemoryMB &&
		(len(l.Cells) == 0 || slices.Contains(l.Cells, w.Cell))
}

// matchesAny tells whether one of the patterns is the name, or with a star the beginning of it; none matchesAny all.
func matchesAny(list []string, name string) bool {
	return len(list) == 0 || slices.ContainsFunc(list, func(s string) bool {
		prefix, star := strings.CutSuffix(s, "*")
		return s == name || star && strings.HasPrefix(name, prefix)
	})
}

// CarryOver has the pools of t go on with the counts of those of old that they replace: of the same figures, or
// else of the same name. Calls that are open end under old, and are counted in both.
func (t *Table) CarryOver(old *Table) {
	if len(t.pools) == 0 || len(old.pools) == 0 {
		return
	}
	before, shared := matchPools(old.pools, t.pools), (*slidingWindow)(nil)
	for _, o := range old.pools {
		if o.Spec.LoadShare == Unset {
			shared = o.loads
		}
	}
	for _, p := range t.pools {
		if o := before[p]; o != nil {
			p.poolCounters = o.poolCounters
		}
		if p.Spec.LoadShare != Unset {
			p.loads = p.ownLoads
		} else if shared != nil {
			p.loads = shared
		}
	}
}

// matchPools finds for each new pool the old one that it replaces: one of the same figures, by the same name where
// there is one, or else the one of the same name. A pool that is only renamed stays the same pool.
func matchPools(old, new []*Pool) map[*Pool]*Pool {
	pairs, taken := map[*Pool]*Pool{}, map[*Pool]bool{}
	find := func(fit func(o, n *Pool) bool) {
		for _, n := range new {
			for _, o := range old {
				if pairs[n] == nil && !taken[o] && fit(o, n) {
					pairs[n], taken[o] = o, true
				}
			}
		}
	}
	name := func(o, n *Pool) bool { return o.Spec.Name == n.Spec.Name }
	find(func(o, n *Pool) bool { return name(o, n) && o.fallbackChain() == n.fallbackChain() })
	find(func(o, n *Pool) bool { return o.fallbackChain() == n.fallbackChain() })
	find(name)
	return pairs
}

// fallbackChain words all that a pool does, its name aside.
func (p *Pool) fallbackChain() string {
	text := p.Spec.description()
	for q := p.fallback; q != nil; q = q.fallback {
		text += " then " + q.Spec.description()
	}
	return text
}

func (s PoolSpec) description() string {
	var picks []string
	for _, l := range s.Workers {
		picks = append(picks, l.String())
	}
	slices.Sort(picks)
	return fmt.Sprintf("workers %s, %s", strings.Join(slices.Compact(picks), " or "), s.limits())
}

// String words a selector in one way, however it was written.
func (l Selector) String() string {
	var parts []string
	add := func(name string, values []string) {
		if len(values) > 0 {
			v := slices.Clone(values)
			slices.Sort(v)
			parts = append(parts, name+" "+strings.Join(slices.Compact(v), "|"))
		}
	}
	add("id", l.IDs)
	add("kind", l.Kinds)
	add("zone", l.Zones)
	var cells []string
	for _, c := range l.Cells {
		cells = append(cells, fmt.Sprint(c))
	}
	add("cell", cells)
	if l.MemoryMB > 0 {
		parts = append(parts, fmt.Sprintf("memory at least %.6g MB", l.MemoryMB))
	}
	labels := slices.Clone(l.Labels)
	slices.SortFunc(labels, func(a, b Label) int { return strings.Compare(a.Name, b.Name) })
	for _, b := range labels {
		add("label "+b.Name, b.Values)
	}
	if len(parts) == 0 {
		return "any"
	}
	return strings.Join(parts, " and ")
}

// limits words what a pool may use.
func (s PoolSpec) limits() string {
	parts := []string{"no cap", "load orders of the rest"}
	if s.MaxInFlight != Unset {
		parts[0] = fmt.Sprintf("cap %d", s.MaxInFlight)
	}
	if s.LoadShare != Unset {
		parts[1] = fmt.Sprintf("load orders %.6g%%", 100*s.LoadShare)
	}
	if s.Fallback != "" && s.OverflowShare != Unset {
		parts = append(parts, fmt.Sprintf("spill %.6g%%", 100*s.OverflowShare))
	}
	if s.Fallback != "" && s.OverflowRate != Unset {
		parts = append(parts, fmt.Sprintf("spill %.6g/s", s.OverflowRate))
	}
	return strings.Join(parts, ", ")
}

// Describe words what the pool does, and what takes its calls where it can't.
func (p *Pool) Describe() string {
	text := p.Spec.description()
	if p.fallback != nil {
		text += ", then pool " + p.fallback.Spec.Name
	}
	return text
}
