package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// trialInterval is the least time between trial requests, which are sent although the estimates call for a
// rejection.
const trialInterval = time.Second

// decisionKind tells how a request is scheduled.
type decisionKind uint8

// The kinds of decisions.
const (
	rejectRequest decisionKind = iota // no worker can respond in time, or load is shed
	deferRequest                      // no worker may take it now, but waiting may help
	sendRequest                       // it is sent to a worker
)

// decision is the scheduler's decision on a request.
type decision struct {
	kind       decisionKind
	retryAfter nanoseconds // with rejectRequest
	placement  placement   // with sendRequest
}

// placement is the worker that was chosen for a request.
type placement struct {
	worker       *worker
	predicted    time.Duration // predicted latency
	likelyLoaded bool          // another router likely keeps a replica there although none is known
}

// scoredWorker is a worker with its score: the predicted latency minus the load time that is likely saved
// because other routers keep a replica there.
type scoredWorker struct {
	worker *worker
	score  nanoseconds
}

// scheduler chooses the worker for a request: the candidate with the lowest score; see scoredWorker. If no
// candidate can respond in time, the request is rejected. If no worker may take it now, it may be deferred.
//
// Scheduling changes only the time of the last trial request, the scratch buffers, and the pool of a request
// that overflows. If a request has no candidate, scheduling also expedites the health checks of the ejected
// workers of its pool.
type scheduler struct {
	cfg       *Config
	rng       *rand.Rand
	tables    *tables
	estimator *latencyEstimator
	slowStart *slowStart
	outliers  *outlierDetector
	breaker   *loadBreaker
	shedder   *loadShedder
	retries   retryRules
	ranking   rendezvousRanking

	lastTrial time.Duration

	candidateBuffer []*worker     // reused by each request
	scoreBuffer     []nanoseconds // reused by each request
}

// choose decides on a request that has no attempt in flight.
func (s *scheduler) choose(now time.Duration, r *request) decision {
	candidates := s.candidatesOrOverflow(now, r)
	preferred := s.ranking.preferred(now, r, candidates)
	blockedUntil := now
	if s.breaker.isOpen(now) && len(candidates) > 0 {
		blockedUntil = s.breaker.openUntil
		candidates = s.withoutLoads(now, r, candidates, preferred)
	}
	if len(candidates) == 0 {
		return s.deferOrReject(now, r, blockedUntil)
	}
	best := s.selectBest(now, r, candidates, preferred)
	return s.admitOrReject(now, r, best, preferred.likelyLoaded(best.worker))
}

// candidatesOrOverflow returns the workers of a request's pool that may take it now. If there are none, it
// returns those of the first pool with such workers to which the request may overflow.
func (s *scheduler) candidatesOrOverflow(now time.Duration, r *request) []*worker {
	candidates := s.candidates(now, r)
	for len(candidates) == 0 && s.retries.mayRetry(now, r, nil) {
		next := r.pool.Overflow(now)
		if next == nil {
			break
		}
		r.pool = next
		candidates = s.candidates(now, r)
	}
	return candidates
}

// candidates returns the workers that may take a request now, in the order in which they were first listed.
// The slice is valid until the next call.
func (s *scheduler) candidates(now time.Duration, r *request) []*worker {
	s.candidateBuffer = s.candidateBuffer[:0]
	if !s.retries.mayStart(now, r) || !s.retries.mayRetry(now, r, nil) {
		return s.candidateBuffer
	}
	for _, w := range s.tables.workers.fleet {
		if !s.outliers.ejected(now, w) && s.retries.eligible(now, r, w) && s.slowStart.admits(now, w) {
			s.candidateBuffer = append(s.candidateBuffer, w)
		}
	}
	return s.candidateBuffer
}

// withoutLoads returns the candidates at which a request starts no load, as far as is known. A first attempt
// may rely on a replica that other routers likely keep.
func (s *scheduler) withoutLoads(
	now time.Duration, r *request, candidates []*worker, preferred preferredWorker,
) []*worker {
	firstAttempt := len(r.attempts) == 0
	return slices.DeleteFunc(candidates, func(w *worker) bool {
		return s.estimator.startsLoad(now, w, r) && !(firstAttempt && preferred.likelyLoaded(w))
	})
}

// selectBest returns the candidate with the lowest score. Ties are broken at random.
func (s *scheduler) selectBest(
	now time.Duration, r *request, candidates []*worker, preferred preferredWorker,
) scoredWorker {
	s.scoreBuffer = s.scoreBuffer[:0]
	lowest := nanoseconds(math.Inf(1))
	tick := nanoseconds(s.cfg.Tick) // scores closer than one clock tick are equal
	load := s.estimator.fullLoadTime(r.function)
	// Without a replica, the latency is at least the run time plus the load time. This bound avoids the full
	// prediction for most workers.
	unloaded := s.estimator.runTime(r) + load
	for _, w := range candidates {
		score := unloaded
		loaded := s.tables.replicas.lookUp(w, r.function.id) != nil
		if w == preferred.worker || loaded || unloaded <= lowest+tick {
			score = s.estimator.predictLatency(now, w, r)
		}
		if w == preferred.worker {
			score -= nanoseconds(preferred.replicaProbability) * load
		}
		s.scoreBuffer = append(s.scoreBuffer, score)
		lowest = min(lowest, score)
	}
	return scoredWorker{worker: candidates[s.pickTied(lowest+tick)], score: lowest}
}

// pickTied returns the index of a score that does not exceed the limit. All such scores are picked with the
// same probability.
func (s *scheduler) pickTied(limit nanoseconds) int {
	picked := 0
	tied := 0
	for i, score := range s.scoreBuffer {
		if score > limit {
			continue
		}
		tied++
		if s.rng.IntN(tied) == 0 {
			picked = i
		}
	}
	return picked
}

// admitOrReject decides to send a request to the best worker unless its response would be late or load is
// shed. Once in a trialInterval such a request is sent anyway, so that a wrong estimate is corrected.
func (s *scheduler) admitOrReject(
	now time.Duration, r *request, best scoredWorker, likelyLoaded bool,
) decision {
	predicted := s.estimator.predictLatency(now, best.worker, r)
	expected := predicted // without the load time if a replica is likely
	if likelyLoaded {
		expected -= s.estimator.expectedLoadTime(now, best.worker, r)
	}
	shedding := s.shedder.decide(now, r, best.worker, expected)
	late := expected > nanoseconds(r.deadline-now)
	lateBeyondQuota := r.overQuota && best.score > nanoseconds(r.class.LatencyObjective)
	if late || shedding.shed || lateBeyondQuota {
		if now-s.lastTrial < trialInterval || r.overQuota {
			return decision{kind: rejectRequest, retryAfter: shedding.retryAfter}
		}
		s.lastTrial = now
	}
	return decision{kind: sendRequest, placement: placement{
		worker:       best.worker,
		predicted:    predicted.duration(),
		likelyLoaded: likelyLoaded,
	}}
}

// deferOrReject decides on a request that no worker may take before the time until. It is deferred if a
// worker may take it later.
func (s *scheduler) deferOrReject(now time.Duration, r *request, until time.Duration) decision {
	for _, w := range s.tables.workers.fleet {
		if r.pool.Contains(w.Worker) {
			s.outliers.expediteCheck(now, w)
		}
	}
	enoughTime := nanoseconds(r.deadline-until) > s.estimator.runTime(r)
	if enoughTime && r.pool.HasCapacity() && s.mayFindWorker(now, r) {
		return decision{kind: deferRequest}
	}
	return decision{kind: rejectRequest, retryAfter: nanoseconds(until - now)}
}

// mayFindWorker reports whether a worker may take a request later: one that is listed now or, if no worker is
// ready, one that is listed later.
func (s *scheduler) mayFindWorker(now time.Duration, r *request) bool {
	if s.tables.workers.ready == 0 && s.retries.mayRetry(now, r, nil) {
		return true
	}
	return slices.ContainsFunc(s.tables.workers.fleet, func(w *worker) bool {
		return s.retries.eligible(now, r, w)
	})
}

// chooseHedge returns the worker for a hedged attempt. It is another worker than that of the first attempt,
// needs no load, and is expected to respond in time. If there is none, the worker is nil.
func (s *scheduler) chooseHedge(now time.Duration, r *request, first *worker) placement {
	var second *worker
	lowest := nanoseconds(r.deadline - now)
	for _, w := range s.candidates(now, r) {
		latency := s.estimator.predictLatency(now, w, r)
		if w != first && !s.estimator.startsLoad(now, w, r) && latency < lowest {
			second = w
			lowest = latency
		}
	}
	return placement{worker: second, predicted: lowest.duration()}
}
