package policy

import (
	"math"
	"testing"
	"time"
)

func TestPreferredWorkerIsTheFirstThatWouldLoad(t *testing.T) {
	e, _, r := newEstimator()
	now := time.Hour
	cfg := *e.cfg
	cfg.Routers = 10
	shared := &tables{}
	var candidates []*worker
	for id := range WorkerID(4) {
		w := &worker{Endpoint: Endpoint{Worker: id + 1}, replicas: map[FunctionID]*replica{}, capacity: workerCapacity{hashWeight: 1}}
		candidates = append(candidates, w)
	}
	shared.workers.ready = len(candidates)
	ranking := &rendezvousRanking{cfg: &cfg, tables: shared, estimator: e, slowStart: &slowStart{}, router: 3}
	preferred := ranking.preferred(now, r, candidates)
	for _, w := range candidates {
		ahead := rendezvousScore(7, w.Worker, 1, math.Inf(-1)) > rendezvousScore(7, preferred.worker.Worker, 1, math.Inf(-1))
		if w != preferred.worker && ahead {
			t.Errorf("worker %d ranks before %d", w.Worker, preferred.worker.Worker)
		}
	}
	first := preferred.worker
	e.replicas.get(first, 7).loadedUntil = now + time.Second
	second := ranking.preferred(now, r, candidates)
	if second.worker == nil || second.worker == first {
		t.Error("a worker that has a replica is preferred for a load")
	}
	if second.likelyLoaded(first) || preferred.replicaProbability != likelyProbability {
		t.Errorf("probability %v of a replica that other routers keep", preferred.replicaProbability)
	}
}
