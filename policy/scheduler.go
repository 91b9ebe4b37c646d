package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// trialInterval is the least time between requests that are sent against an estimate.
const trialInterval = time.Second

// decisionKind is what becomes of a request that is scheduled.
type decisionKind uint8

// The kinds of decisions.
const (
	rejectRequest decisionKind = iota // no worker takes it in time
	deferRequest                      // no worker may take it now, and waiting may help
	sendRequest                       // a worker takes it
)

// decision is what the scheduler has decided on a request.
type decision struct {
	kind       decisionKind
	retryAfter nanoseconds // of rejectRequest
	placement  placement   // of sendRequest
}

// placement is the worker that takes a request.
type placement struct {
	worker       *worker
	predicted    time.Duration // latency
	likelyLoaded bool          // another router likely keeps a replica there though none is known
}

// scoredWorker is a worker with its score: the predicted latency less what is likely saved of a load.
type scoredWorker struct {
	worker *worker
	score  nanoseconds
}

// scheduler chooses the worker for a request: the candidate with the lowest predicted latency if the request
// is added there. Where none can finish in time the request is rejected, and where none may take it now it is
// deferred.
//
// It changes nothing but the time of the last trial and its scratch buffers, and has ejected workers checked
// sooner where a request has no candidate.
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

// candidatesOrOverflow returns the workers of a request's pool that may take it now, or else those of the
// next pool that its requests overflow to.
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

// candidates returns the workers that may take a request now, in the order of their first listing. The slice
// is valid until the next call.
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

// withoutLoads returns the candidates at which a request begins no load, as far as is known. A first attempt
// may count on a replica that other routers likely keep.
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
	// Where no replica is loaded a request takes its run and a load at the least: most workers need no closer
	// look.
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

// pickTied returns the index of one of the scores up to a limit, each with the same chance.
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

// admitOrReject sends a request to the best worker unless its response would be late or load is shed. Once in
// a trialInterval a request is sent all the same, so that a wrong estimate is corrected.
func (s *scheduler) admitOrReject(
	now time.Duration, r *request, best scoredWorker, likelyLoaded bool,
) decision {
	predicted := s.estimator.predictLatency(now, best.worker, r)
	expected := predicted // more likely than not
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

// deferOrReject decides on a request that no worker takes before a time. It waits where one may take it
// later.
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

// mayFindWorker reports whether a worker may take a request later: one that is listed, or one that is listed
// yet.
func (s *scheduler) mayFindWorker(now time.Duration, r *request) bool {
	if s.tables.workers.ready == 0 && s.retries.mayRetry(now, r, nil) {
		return true
	}
	return slices.ContainsFunc(s.tables.workers.fleet, func(w *worker) bool {
		return s.retries.eligible(now, r, w)
	})
}

// chooseHedge returns the worker for a hedged attempt: one other than the first attempt's that needs no load
// and responds in time. It returns a nil worker where there is none.
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
