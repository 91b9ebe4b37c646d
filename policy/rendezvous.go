package policy

import "math"

// likelyChance is a chance that is counted on where a wrong guess costs little.
const likelyChance = 0.5

// preference is the worker at which a load of a function should begin, and the chance that another router keeps a
// replica loaded there, so that none has to. Its worker is nil where all candidates have a replica.
type preference struct {
	worker       *worker
	loadedChance float64
}

func (f preference) likely(w *worker) bool { return w == f.worker && f.loadedChance >= likelyChance }

// rendezvousScore ranks w for f alike at all routers, by its weight. What can't be above least needs no logarithm.
func rendezvousScore(f FunctionID, w WorkerID, weight, least float64) float64 {
	x := uint64(f)*0x9e3779b97f4a7c15 ^ uint64(w)*0xc2b2ae3d27d4eb4f
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	if u := (float64((x^x>>29)>>11) + 1) / (1 << 53); (u-1)/weight > least {
		return math.Log(u) / weight
	}
	return least
}

// rendezvous prefers the first in rank of the candidates that we think have no replica of r's function. The function
// deserves several ranks, by its share of our work or its congestion, as far as other routers carry it: what we
// send shows in flight. Each router keeps to one of the ranks, and the others keep its replicas loaded.
func (p *Policy) rendezvous(r *request, candidates []*worker) (preferred preference) {
	f, run, none := r.function, p.runTime(r), math.Inf(-1)
	share := f.recentRequests * run * float64(p.readyWorkers) / max(p.servedWork, run)
	ranks := 1 + int((1-1/float64(p.cfg.Routers))*max(share, f.congestion))
	chosen, best := 0, rendezvousScore(f.id, WorkerID(p.router), 1, none)
	for i := 1; i < min(ranks, p.readyWorkers); i++ {
		if score := rendezvousScore(f.id+FunctionID(i), WorkerID(p.router), 1, best); score > best {
			chosen, best = i, score
		}
	}
	key, first, firstUnloaded := f.id^FunctionID(chosen)<<48, none, none
	for _, w := range candidates {
		score := rendezvousScore(key, w.Worker, w.hashWeight, min(first, firstUnloaded))
		first = max(first, score)
		if score > firstUnloaded && p.beginsLoad(w, r) {
			preferred.worker, firstUnloaded = w, score
		}
	}
	preferred.loadedChance = min(likelyChance, 0.2*float64(p.cfg.Routers+1)) // alone: only what it lost sight of
	if preferred.worker != nil && firstUnloaded == first {
		others := f.recentRequests * float64(p.cfg.Routers-1) / float64(ranks)
		kept := 1 - math.Exp(-others*float64(p.cfg.KeepAlive)/float64(rateSpan))
		preferred.loadedChance = max(preferred.loadedChance, kept)
	}
	return preferred
}
