package policy

import (
	"cmp"
	"slices"
	"time"

	"crankhold/internal/stats"
)

type worker struct {
	Endpoint
	size, capacity, hashWeight float64    // in comparison; what it can do; in rendezvous hashing
	inFlight                   []*attempt // in the order in which they started
	queueSlope                 stats.Regression
	queueDelay                 stats.DecayingMean   // the intercept: what other routers' requests add
	failureRates               []stats.DecayingMean // by class
	servedWork                 float64              // for us, decaying over rateSpan
	slowStart                  stats.TokenBucket    // work that may go there while it warms up
	replicas                   map[FunctionID]*replica
	indexMark

	pendingLoads, consecutiveFailures     int
	checking                              bool // a health check is in flight
	lastCheck, lastResponse, ejectedUntil time.Duration
	returnedAt                            time.Duration // responded after an ejection; 0: it never did
}

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
			w = &worker{replicas: map[FunctionID]*replica{}}
			p.workers[e.Worker] = w
			p.fleet = append(p.fleet, w)
		}
		if !known || e.Started > w.Started { // nothing holds that is known of the process before
			for _, replica := range w.replicas {
				replica.unloaded()
			}
			w.consecutiveFailures = 0
			w.ejectedUntil = 0
			w.servedWork = 0
			w.returnedAt = 0
			p.resetSlowStart(w)
			w.queueSlope = stats.Regression{}
			w.queueDelay = stats.DecayingMean{Span: queueSpan, Few: fewResponses}
			w.failureRates = slices.Repeat([]stats.DecayingMean{w.queueDelay}, len(p.classes))
		}
		w.Endpoint, w.size = e, cmp.Or(stats.Clamp(e.Weight, 0, 1e9), 1)
	}
	p.readyWorkers, p.meanSize = 0, 0
	for _, w := range p.fleet {
		p.meanSize += w.size / float64(len(p.fleet))
		if l.Kind != EndpointDelta && !listed[w.Worker] {
			w.State = Gone
		}
		p.readyWorkers += int(w.State & Ready)
	}
	p.updateCapacities()
}
