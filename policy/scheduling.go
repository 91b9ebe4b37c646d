package policy

import (
	"math"
	"slices"
	"time"
)

const (
	trialInterval = time.Second // between requests that are sent against an estimate
	likelyChance  = 0.5         // is counted on where a wrong guess costs little
)

// schedule sends r to the worker with the lowest predicted latency, or rejects or defers it.
func (p *Policy) schedule(r *request) {
	if r.done || r.inFlight > 0 {
		return
	}
	candidates, until := p.candidatesOrOverflow(r), p.now
	preferred, chance := p.rendezvous(r, candidates)
	if p.now < p.breakerUntil && len(candidates) > 0 { // nothing begins a load, as far as we know
		until = p.breakerUntil
		candidates = slices.DeleteFunc(candidates, func(w *worker) bool {
			return p.beginsLoad(w, r) && (w != preferred || chance < likelyChance || len(r.attempts) > 0)
		})
	}
	if len(candidates) == 0 {
		p.deferOrReject(r, until)
		return
	}
	w, lowest := p.fastest(r, candidates, preferred, chance)
	predicted, likelyLoaded := p.predict(w, r), w == preferred && chance >= likelyChance
	expected := predicted // what it takes if we are right: more likely than not a replica is loaded
	if likelyLoaded {
		expected -= p.remainingLoad(w, r)
	}
	shed, wait := p.shed(r, w, expected)
	if expected > float64(r.deadline-p.now) || r.overQuota && lowest > float64(r.class.LatencyObjective) ||
		r.possibleRun == nil && shed {
		if p.now-p.lastTrial < trialInterval || r.overQuota {
			p.reject(r, wait)
			return
		}
		p.lastTrial = p.now // a bounded trial, so that a wrong estimate can be corrected
	}
	p.startAttempt(r, w, time.Duration(predicted), likelyLoaded)
}

// eligible reports whether r may go to w, now or later.
func (p *Policy) eligible(w *worker, r *request) bool {
	return w.State == Ready && r.pool.Contains(w.Worker) && !slices.Contains(r.excluded, w) &&
		p.mayRetry(r, w)
}

// candidates are the workers that r may go to now.
func (p *Policy) candidates(r *request) []*worker {
	p.candidateBuffer = p.candidateBuffer[:0]
	if p.mayStart(r) && p.mayRetry(r, nil) {
		for _, w := range p.fleet {
			if !p.ejected(w) && p.eligible(w, r) && p.slowStartAdmits(w) {
				p.candidateBuffer = append(p.candidateBuffer, w)
			}
		}
	}
	return p.candidateBuffer
}

// candidatesOrOverflow moves r on to the first pool that can take it.
func (p *Policy) candidatesOrOverflow(r *request) []*worker {
	for next := r.pool; next != nil; next = r.pool.Overflow(p.now) {
		r.pool = next
		if candidates := p.candidates(r); len(candidates) > 0 || !p.mayRetry(r, nil) {
			return candidates
		}
	}
	return nil
}

// beginsLoad reports whether r would begin a load at w.
func (p *Policy) beginsLoad(w *worker, r *request) bool {
	i := p.replicas.lookUp(w, r.function.id)
	return (i == nil || i.loadDue == 0) && p.remainingLoad(w, r) > 0
}

// fastest returns the candidate with the lowest predicted latency, and that, less what the chance of a replica
// saves at the preferred worker. What is closer than the clock can tell is a tie, broken at random.
func (p *Policy) fastest(
	r *request, candidates []*worker, preferred *worker, chance float64) (w *worker, lowest float64) {
	run, load := p.runTime(r), p.fullLoad(r.function)
	scores, tie := p.scoreBuffer[:0], float64(p.cfg.Tick)
	lowest = math.Inf(1)
	for _, w := range candidates {
		// Where no replica is loaded r takes its run and a load at the least: most need no closer look.
		score := run + load
		if w == preferred || p.replicas.lookUp(w, r.function.id) != nil || score <= lowest+tie {
			score = p.predict(w, r)
		}
		if w == preferred {
			score -= chance * load
		}
		scores, lowest = append(scores, score), min(lowest, score)
	}
	p.scoreBuffer = scores
	ties, chosen := 0, 0
	for i := range candidates {
		if scores[i] <= lowest+tie {
			if ties++; p.rng.IntN(ties) == 0 {
				chosen = i
			}
		}
	}
	return candidates[chosen], lowest
}

// deferOrReject answers r where no worker takes it until a time. It waits where a worker that is ejected or in
// slow start may take it later, or one be listed.
func (p *Policy) deferOrReject(r *request, until time.Duration) {
	for _, w := range p.fleet { // nobody else can take it: those ejected are checked sooner
		if w.consecutiveFailures > 0 && r.pool.Contains(w.Worker) {
			w.ejectedUntil = min(w.ejectedUntil, max(p.now, w.lastCheck+baseEjection/2))
		}
	}
	later := func(w *worker) bool { return p.eligible(w, r) }
	if float64(r.deadline-until) > p.runTime(r) && r.pool.HasCapacity() &&
		(p.readyWorkers == 0 && p.mayRetry(r, nil) || slices.ContainsFunc(p.fleet, later)) {
		p.deferred = append(p.deferred, r)
	} else {
		p.reject(r, float64(until-p.now))
	}
}

// rendezvousScore ranks w for f alike at all routers; what can't be above least needs no logarithm.
func rendezvousScore(f FunctionID, w WorkerID, weight, least float64) float64 {
	x := uint64(f)*0x9e3779b97f4a7c15 ^ uint64(w)*0xc2b2ae3d27d4eb4f
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	if u := (float64((x^x>>29)>>11) + 1) / (1 << 53); (u-1)/weight > least {
		return math.Log(u) / weight
	}
	return least
}

// rendezvous returns the first in rank of the candidates at which r would begin a load, and the chance that a
// replica is loaded there all the same, kept by others. A function deserves a slot for its share of our work or
// its congestion, as far as other routers carry it: what we send shows in flight. Each router keeps to one.
func (p *Policy) rendezvous(r *request, candidates []*worker) (preferred *worker, chance float64) {
	f, run, slot, none := r.function, p.runTime(r), 0, math.Inf(-1)
	share := f.recentRequests * run * float64(p.readyWorkers) / max(p.servedWork, run)
	slots := 1 + int((1-1/float64(p.cfg.Routers))*max(share, f.congestion))
	us := WorkerID(p.router)
	for s, best := 1, rendezvousScore(f.id, us, 1, none); s < min(slots, p.readyWorkers); s++ {
		if score := rendezvousScore(f.id+FunctionID(s), us, 1, best); score > best {
			slot, best = s, score
		}
	}
	key, first, firstCold := f.id^FunctionID(slot)<<48, none, none
	for _, w := range candidates {
		score := rendezvousScore(key, w.Worker, w.hashWeight, min(first, firstCold))
		first = max(first, score)
		if score > firstCold && p.beginsLoad(w, r) {
			preferred, firstCold = w, score
		}
	}
	chance = min(likelyChance, 0.2*float64(p.cfg.Routers+1)) // of a lone router only what it lost sight of
	if preferred != nil && firstCold == first {
		others := f.recentRequests * float64(p.cfg.Routers-1) / float64(slots)
		chance = max(chance, 1-math.Exp(-others*float64(p.cfg.KeepAlive)/float64(rateSpan)))
	}
	return preferred, chance
}
