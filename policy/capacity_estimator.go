package policy

import (
	"math"

	"crankhold/internal/stats"
)

const (
	sizeRegressionRetention = 0.995 // the regression remembers about 200 responses
	sizePrior               = 0.5   // weight of a dozen responses that show no effect of size
	maxExtraExponent        = 2     // the exponent of a size exceeds 1 by at most this
)

// workerCapacity holds the estimates of capacityEstimator for a worker.
type workerCapacity struct {
	work       float64 // work that it can do when warm, relative to other workers
	hashWeight float64 // weight in rendezvous hashing
}

// capacityEstimator estimates the capacity of workers when warm. This is their size raised to an exponent
// from 1 to 3, which it learns from the run times at large and small workers.
type capacityEstimator struct {
	cfg            *Config
	workers        *workerTable
	sizeRegression stats.Regression // relative saving of run time over the logarithm of the size
}

// observeRun updates the regression by a run at a worker, given as a multiple of the mean run time.
func (e *capacityEstimator) observeRun(w *worker, multiple float64) {
	size := math.Log(w.size / e.workers.meanSize)
	e.sizeRegression.Observe(size*size, size*(1-min(multiple, maxMultiple)), sizeRegressionRetention)
}

// update recomputes the capacities of all workers. A single router hashes all workers with equal weight,
// because it knows their queues. With more routers the weights follow the capacities more closely.
func (e *capacityEstimator) update() {
	exponent := 1 + stats.Clamp(e.sizeRegression.SumY/(e.sizeRegression.SumX+sizePrior), 0, maxExtraExponent)
	for _, w := range e.workers.fleet {
		w.capacity.work = math.Pow(w.size, exponent)
		w.capacity.hashWeight = math.Pow(w.capacity.work, 1-1/float64(e.cfg.Routers))
	}
}
