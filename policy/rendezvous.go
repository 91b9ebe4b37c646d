package policy

import (
	"math"
	"time"
)

const (
	// likelyProbability is the least probability with which a replica is assumed to be loaded if a wrong
	// assumption costs little.
	likelyProbability = 0.5

	// probabilityPerRouter is the probability, for each router, that a worker has a replica that this router
	// no longer knows of.
	probabilityPerRouter = 0.2
)

// preferredWorker is the worker at which a request should start a load if it has to start one.
type preferredWorker struct {
	worker             *worker // nil: a replica is known at every candidate
	replicaProbability float64 // probability that other routers keep a replica loaded there
}

// likelyLoaded reports whether a worker is the preferred worker and likely has a replica.
func (p preferredWorker) likelyLoaded(w *worker) bool {
	return w == p.worker && p.replicaProbability >= likelyProbability
}

// rendezvousRanking ranks the workers for a function by rendezvous hashing. The rank is the same at all
// routers, so that routers that share no state load a function at the same workers. A function that needs
// more than one replica has several such ranks, called slots. Each router uses only one of them.
type rendezvousRanking struct {
	cfg       *Config
	tables    *tables
	estimator *latencyEstimator
	slowStart *slowStart
	router    WorkerID // this router's identifier; the same hash chooses its slot
}

// preferred returns the candidate that ranks first among those at which a request would start a load.
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
	// A single router knows of all replicas, except those that are still loaded after loadedUntil.
	probability := min(likelyProbability, probabilityPerRouter*float64(ranking.cfg.Routers+1))
	if preferred != nil && highestUnloaded == highest {
		probability = max(probability, ranking.loadedByOthersProbability(f, slots))
	}
	return preferredWorker{worker: preferred, replicaProbability: probability}
}

// slots returns the number of slots of a function. It has more slots if it makes up a large share of this
// router's work or is congested.
func (ranking *rendezvousRanking) slots(r *request) int {
	f := r.function
	run := float64(ranking.estimator.runTime(r))
	work := f.recentRequests * run * float64(ranking.tables.workers.ready)
	share := work / max(ranking.slowStart.servedWork, run)
	return 1 + int((1-1/float64(ranking.cfg.Routers))*max(share, f.congestion))
}

// ownSlot returns the slot of a function that this router uses.
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

// loadedByOthersProbability returns the probability that requests of other routers keep a replica loaded at
// the first worker of a slot.
func (ranking *rendezvousRanking) loadedByOthersProbability(f *function, slots int) float64 {
	others := f.recentRequests * float64(ranking.cfg.Routers-1) / float64(slots)
	return 1 - math.Exp(-others*float64(ranking.cfg.KeepAlive)/float64(rateSpan))
}

// rendezvousScore returns the score of a worker for a function, which is the same at all routers. If the
// score can't exceed least, it returns least without computing the logarithm.
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
