package policy

import (
	"math"
	"slices"
	"time"
)

const trialInterval = time.Second // between requests that are sent against an estimate
const likelyChance = 0.5          // is counted on where a wrong guess costs little

// schedule sends r to the worker with the lowest predicted latency, or rejects or defers it.
func (p *Policy) schedule(r *request) {
	if r.done || r.inFlight > 0 {
		return
	}
	candidates, until := p.candidates(r), p.now
	for len(candidates) == 0 && p.mayRetry(r, nil) {
		next := r.pool.Overflow(p.now)
		if next == nil {
			break
		}
		r.pool = next
		candidates = p.candidates(r)
	}
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
	chosen, lowest := p.fastest(r, candidates, preferred, chance)
	w := candidates[chosen]
	predicted, likelyLoaded := p.predictLatency(w, r), w == preferred && chance >= likelyChance
	expected := predicted // what it takes if we are right: more likely than not a replica is loaded
	if likelyLoaded {
		expected -= p.expectedLoadTime(w, r)
	}
	shed, wait := p.shed(r, w, expected)
	late := expected > float64(r.deadline-p.now)
	if late || shed || r.overQuota && lowest > float64(r.class.LatencyObjective) {
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

func (p *Policy) beginsLoad(w *worker, r *request) bool {
	replica := p.replicas.lookUp(w, r.function.id)
	return (replica == nil || replica.loadDue == 0) && p.expectedLoadTime(w, r) > 0
}

// fastest returns the index of the candidate with the lowest score, and that. Ties are broken at random.
func (p *Policy) fastest(r *request, candidates []*worker, preferred *worker, chance float64) (int, float64) {
	run, load := p.runTime(r), p.fullLoadTime(r.function)
	scores, lowest, tie := p.scoreBuffer[:0], math.Inf(1), float64(p.cfg.Tick) // the clock tells no less
	for _, w := range candidates {
		// Where no replica is loaded r takes its run and a load at the least: most need no closer look.
		score := run + load
		if w == preferred || p.replicas.lookUp(w, r.function.id) != nil || score <= lowest+tie {
			score = p.predictLatency(w, r)
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
	return chosen, lowest
}

// deferOrReject answers r where no worker takes it until a time: it waits where one may take it later.
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

// rendezvous returns the first in rank of the candidates at which r would begin a load, and the chance that
// other routers keep a replica there. A function has several slots if it is busy; a router keeps to one.
func (p *Policy) rendezvous(r *request, candidates []*worker) (preferred *worker, chance float64) {
	f, run, slot, none := r.function, p.runTime(r), 0, math.Inf(-1)
	share := f.recentRequests * run * float64(p.readyWorkers) / max(p.servedWork, run)
	slots := 1 + int((1-1/float64(p.cfg.Routers))*max(share, f.congestion))
	for s, best := 1, rendezvousScore(f.id, p.router, 1, none); s < min(slots, p.readyWorkers); s++ {
		if score := rendezvousScore(f.id+FunctionID(s), p.router, 1, best); score > best {
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
