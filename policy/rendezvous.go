package policy

import (
	"math"
	"time"
)

const (
	// likelyChance is the chance of a replica from which on it is counted on where a wrong guess costs
	// little.
	likelyProbability = 0.5

	// chancePerRouter is the chance that a worker keeps a replica that this router has lost sight of, for
	// each router.
	probabilityPerRouter = 0.2
)

// preferredWorker is the worker at which a request would begin a load, if it has to begin one.
type preferredWorker struct {
	worker             *worker // nil: a replica is known at every candidate
	replicaProbability float64 // that other routers keep a replica there
}

// likelyLoaded reports whether a worker is the preferred one and likely has a replica.
func (p preferredWorker) likelyLoaded(w *worker) bool {
	return w == p.worker && p.replicaProbability >= likelyProbability
}

// rendezvousRanking ranks workers for a function alike at all routers, by rendezvous hashing, so that routers
// that share nothing load a function at the same workers. A function has several such ranks, called slots,
// where it needs more than one replica. Each router keeps to one slot.
type rendezvousRanking struct {
	cfg       *Config
	tables    *tables
	estimator *latencyEstimator
	slowStart *slowStart
	router    WorkerID // this router's own identifier: slots are ranked by it as workers are
}

// preferred returns the candidate that ranks first among those at which a request would begin a load.
func (ranking *rendezvousRanking) preferred(
	now time.Duration, r *request, candidates []*worker,
) preferredWorker {
	f := r.function
	slots := ranking.slots(r)
	key := f.id ^ FunctionID(ranking.ownSlot(f, slots))<<48
	var preferred *worker
	highest := math.Inf(-1)
	highestUnloaded := math.Inf(-1)
	for _, w := range candidates {
		score := rendezvousScore(key, w.Worker, w.capacity.hashWeight, min(highest, highestUnloaded))
		highest = max(highest, score)
		if score > highestUnloaded && ranking.estimator.startsLoad(now, w, r) {
			preferred = w
			highestUnloaded = score
		}
	}
	// A lone router knows of all replicas but those that it has lost sight of.
	probability := min(likelyProbability, probabilityPerRouter*float64(ranking.cfg.Routers+1))
	if preferred != nil && highestUnloaded == highest {
		probability = max(probability, ranking.loadedByOthersProbability(f, slots))
	}
	return preferredWorker{worker: preferred, replicaProbability: probability}
}

// slots returns how many slots a function has: more for a large share of our work or where it is congested.
func (ranking *rendezvousRanking) slots(r *request) int {
	f := r.function
	run := float64(ranking.estimator.runTime(r))
	work := f.recentRequests * run * float64(ranking.tables.workers.ready)
	share := work / max(ranking.slowStart.servedWork, run)
	return 1 + int((1-1/float64(ranking.cfg.Routers))*max(share, f.congestion))
}

// ownSlot returns the slot of a function that this router keeps to.
func (ranking *rendezvousRanking) ownSlot(f *function, slots int) int {
	own := 0
	best := rendezvousScore(f.id, ranking.router, 1, math.Inf(-1))
	for slot := 1; slot < min(slots, ranking.tables.workers.ready); slot++ {
		score := rendezvousScore(f.id+FunctionID(slot), ranking.router, 1, best)
		if score > best {
			own = slot
			best = score
		}
	}
	return own
}

// loadedByOthersProbability returns the chance that requests of other routers keep a replica loaded at the first worker
// of a slot.
func (ranking *rendezvousRanking) loadedByOthersProbability(f *function, slots int) float64 {
	others := f.recentRequests * float64(ranking.cfg.Routers-1) / float64(slots)
	return 1 - math.Exp(-others*float64(ranking.cfg.KeepAlive)/float64(rateSpan))
}

// rendezvousScore is the score of a worker for a function, the same at all routers. Scores that can't exceed
// least are returned as least, which saves the logarithm.
func rendezvousScore(f FunctionID, w WorkerID, weight, least float64) float64 {
	x := uint64(f)*0x9e3779b97f4a7c15 ^ uint64(w)*0xc2b2ae3d27d4eb4f
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	uniform := (float64((x^x>>29)>>11) + 1) / (1 << 53) // in (0, 1]
	if (uniform-1)/weight > least {
		return math.Log(uniform) / weight
	}
	return least
}
