package policy

import (
	"cmp"
	"time"

	"crankhold/internal/stats"
)

// worker is what is known of one that is listed, or was and still has attempts or loads.
type worker struct {
	Endpoint
	capacity   float64 // what it can do in comparison with other workers
	hashWeight float64 // its weight in rendezvous hashing
	replicas   map[FunctionID]*replica
	indexMark

	inFlight     []*attempt // in the order in which they started
	pendingLoads int
	queueSlope   stats.Regression     // queueing delay over the attempts in flight
	queueDelay   stats.DecayingMean   // what other routers' requests add to it
	failureRates []stats.DecayingMean // by class
	servedWork   float64              // for us, decaying over rateSpan

	slowStart stats.TokenBucket // work that may go there now while it warms up

	checking            bool // a health check is in flight
	consecutiveFailures int
	lastResponse        time.Duration
	lastCheck           time.Duration
	ejectedUntil        time.Duration
}

// endpointsListed follows the endpoint list.
func (p *Policy) endpointsListed(l EndpointList) {
	if l.Kind == EndpointListFailed {
		p.subscribed = false
		p.emit(SetTimer{After: max(p.cfg.PollInterval/8, housekeepingInterval), Token: subscribeToken})
		return
	}
	p.subscribed = p.subscribed || l.Kind != CachedEndpointSnapshot
	listed := map[WorkerID]bool{}
	for _, e := range l.Workers {
		listed[e.Worker] = true
		w, known := p.workers[e.Worker]
		if !known {
			w = &worker{replicas: map[FunctionID]*replica{}, failureRates: make([]stats.DecayingMean, len(p.classes))}
			p.workers[e.Worker] = w
			p.fleet = append(p.fleet, w)
		}
		if !known || e.Started > w.Started {
			p.processStarted(w)
		}
		w.Endpoint = e
		w.Weight = stats.Clamp(e.Weight, 0, 1e9) // 0: unknown
	}
	p.readyWorkers, p.meanWeight = 0, 0
	for _, w := range p.fleet {
		p.meanWeight += cmp.Or(w.Weight, 1) / float64(len(p.fleet))
		if l.Kind != EndpointDelta && !listed[w.Worker] {
			w.State = Gone
		}
		p.readyWorkers += int(w.State & Ready)
	}
	p.updateCapacities()
}

// processStarted forgets what was known of w's process before. In slow start w owes a part of a request, by chance,
// so that routers take turns.
func (p *Policy) processStarted(w *worker) {
	for _, i := range w.replicas {
		i.unloaded()
	}
	w.consecutiveFailures, w.ejectedUntil = 0, 0
	w.servedWork = 0
	w.slowStart.Tokens = -p.rng.Float64() * p.classes[0].run.Mean
	w.queueSlope = stats.Regression{}
	w.queueDelay = stats.DecayingMean{Span: queueSpan, Few: fewResponses}
	for class := range w.failureRates {
		w.failureRates[class] = w.queueDelay
	}
}
