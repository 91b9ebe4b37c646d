package policy

import (
	"math"

	"crankhold/internal/stats"
)

const (
	sizeRegressionRetention = 0.995 // the effect of size remembers about 200 responses
	sizePriorWeight         = 0.5   // and begins with a dozen that show none
	maxExtraExponent        = 2     // by which the power of a size may exceed 1
)

// workerCapacity is what capacityEstimator knows of a worker.
type workerCapacity struct {
	work       float64 // that it can do if warm, in comparison with other workers
	hashWeight float64 // its weight in rendezvous hashing
}

// capacityEstimator estimates what workers can do if warm: their size to a power from 1 to 3, which it learns
// from the runs at large and small workers.
type capacityEstimator struct {
	cfg            *Config
	workers        *workerTable
	sizeRegression stats.Regression // of runs: less time over the log of the size
}

// observeRun learns from a run at a worker, as a multiple of the mean run.
func (e *capacityEstimator) observeRun(w *worker, multiple float64) {
	logSize := math.Log(w.size / e.workers.meanSize)
	e.sizeRegression.Observe(logSize*logSize, logSize*(1-min(multiple, maxMultiple)), sizeRegressionRetention)
}

// update estimates the capacities of all workers anew.
func (e *capacityEstimator) update() {
	exponent := 1 + stats.Clamp(e.sizeRegression.SumY/(e.sizeRegression.SumX+sizePriorWeight), 0, maxExtraExponent)
	for _, w := range e.workers.fleet {
		w.capacity.work = math.Pow(w.size, exponent)
		w.capacity.hashWeight = math.Pow(w.capacity.work, 1-1/float64(e.cfg.Routers))
	}
}
