package policy

import (
	"math"
	"slices"
	"time"
)

// trialInterval is the least time between requests that are sent although an estimate says that they come too late.
const trialInterval = time.Second

// schedule sends r to the worker with the lowest predicted latency, or rejects or defers it.
func (p *Policy) schedule(r *request) {
	if r.done || r.inFlight > 0 {
		return
	}
	candidates, until := p.candidatesOrOverflow(r), p.now
	preferred := p.rendezvous(r, candidates)
	if p.now < p.breakerUntil && len(candidates) > 0 { // nothing begins a load, as far as we know
		until = p.breakerUntil
		candidates = slices.DeleteFunc(candidates, func(w *worker) bool {
			return p.beginsLoad(w, r) && (!preferred.likely(w) || len(r.attempts) > 0)
		})
	}
	if len(candidates) == 0 {
		p.deferOrReject(r, until)
		return
	}
	w, lowest := p.lowestLatency(r, candidates, preferred)
	predicted := p.predict(w, r)
	expected := predicted // what it takes if we are right, for more likely than not a replica is loaded
	if preferred.likely(w) {
		expected -= p.remainingLoad(w, r)
	}
	shed, wait := p.shouldShed(r, w, expected)
	if expected > float64(r.deadline-p.now) || r.overQuota && lowest > float64(r.class.LatencyObjective) ||
		r.possibleRun == nil && shed {
		if p.now-p.lastTrial < trialInterval || r.overQuota {
			p.reject(r, wait)
			return
		}
		p.lastTrial = p.now // so that a wrong estimate can be corrected
	}
	p.startAttempt(r, w, time.Duration(predicted), preferred.likely(w))
}

// candidates are the workers that may take r, without those ejected and those that rejected it.
func (p *Policy) candidates(r *request) []*worker {
	p.candidateBuffer = p.candidateBuffer[:0]
	if !p.mayStart(r) || !p.mayRetry(r, nil) {
		return p.candidateBuffer
	}
	scoped := r.possibleRun != nil && r.class.Idempotency == IdempotentWithKey
	for _, w := range p.fleet {
		if w.State == Ready && !p.ejected(w) && r.pool.Contains(w.Worker) && !slices.Contains(r.excluded, w) &&
			(!scoped || p.mayRetry(r, w)) && p.slowStartAdmits(w) {
			p.candidateBuffer = append(p.candidateBuffer, w)
		}
	}
	return p.candidateBuffer
}

// candidatesOrOverflow moves r to the first of its pools that has candidates, and returns these.
func (p *Policy) candidatesOrOverflow(r *request) []*worker {
	candidates := p.candidates(r)
	for len(candidates) == 0 && p.mayRetry(r, nil) {
		next := r.pool.Overflow(p.now)
		if next == nil {
			break
		}
		r.pool = next
		candidates = p.candidates(r)
	}
	return candidates
}

// lowestLatency returns the candidate that r is predicted to take the least time at, and that time, less what the
// chance of a loaded replica saves. What is closer than the clock can tell is a tie, broken at random.
func (p *Policy) lowestLatency(r *request, candidates []*worker, preferred preference) (*worker, float64) {
	run, load := p.runTime(r), p.newLoadTime(r.function)
	scores, lowest := p.scoreBuffer[:0], math.Inf(1)
	for _, w := range candidates {
		// Where no replica stands r takes its run and a load at least: most need no closer look.
		score := run + load
		if w == preferred.worker || p.replicas.lookUp(w, r.function.id) != nil || score <= lowest+float64(p.cfg.Tick) {
			score = p.predict(w, r)
		}
		if w == preferred.worker {
			score -= preferred.loadedChance * load
		}
		scores, lowest = append(scores, score), min(lowest, score)
	}
	p.scoreBuffer = scores
	ties, chosen := 0, 0
	for i := range candidates {
		if scores[i] <= lowest+float64(p.cfg.Tick) {
			ties++
			if p.rng.IntN(ties) == 0 {
				chosen = i
			}
		}
	}
	return candidates[chosen], lowest
}

// deferOrReject answers r where no worker can take it until a time: it waits where that may help.
func (p *Policy) deferOrReject(r *request, until time.Duration) {
	for _, w := range p.fleet { // nobody else can take it: ejected workers are checked sooner
		if w.consecutiveFailures > 0 && r.pool.Contains(w.Worker) {
			w.ejectedUntil = min(w.ejectedUntil, max(p.now, w.lastCheck+baseEjection/2))
		}
	}
	if float64(r.deadline-until) > p.runTime(r) && p.mayDefer(r) {
		p.deferred = append(p.deferred, r)
	} else {
		p.reject(r, float64(until-p.now))
	}
}

// mayDefer reports whether waiting may help r: an ejected or warming worker may take it later, or one be listed.
func (p *Policy) mayDefer(r *request) bool {
	return r.pool.HasCapacity() && (p.readyWorkers == 0 && p.mayRetry(r, nil) ||
		slices.ContainsFunc(p.fleet, func(w *worker) bool {
			return w.State == Ready && r.pool.Contains(w.Worker) && !slices.Contains(r.excluded, w) && p.mayRetry(r, w)
		}))
}
