package simulation

import (
	"fmt"
	"time"

	"crankhold/internal/router"
	"crankhold/policy"
)

// Resources that every request requires.
const (
	requestLanes    = 4
	requestMemoryMB = 100
)

// Request is a client's request with the responses to it.
type Request struct {
	Tenant     string
	NewVersion bool          // whether it is for a version of the function that was released during the run
	SentAt     time.Duration // virtual time
	Timeout    time.Duration // measured from SentAt
	Responses  []router.Response
	Latency    time.Duration // time from SentAt to the last response
	// SentWhileDraining reports whether the request arrived after the router's grace period, so that the router had to
	// reject it.
	SentWhileDraining bool
	// RouterKilled reports whether the router was killed before it responded.
	RouterKilled bool

	router *Router
	fleet  *Fleet
}

// Respond implements router.Responder: it records a response.
func (r *Request) Respond(response router.Response) {
	r.Responses = append(r.Responses, response)
	r.Latency = r.fleet.now - r.SentAt
}

// Traffic schedules requests of a tenant at random times over the next d. The rate is the mean number of requests per
// second over all routers.
func (f *Fleet) Traffic(tenant string, class int, rate float64, d time.Duration) {
	for at := time.Duration(0); at < d; {
		f.After(at, func() { f.sendRequest(f.pickRouter(), tenant, class) })
		at += time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
	}
}

// pickRouter picks a random router that is not down, weighted by the routers' traffic weights.
func (f *Fleet) pickRouter() *Router {
	sum := 0.0
	for _, r := range f.Routers {
		if !r.Down {
			sum += r.trafficWeight
		}
	}
	rest := f.random.Float64() * sum
	for _, r := range f.Routers {
		if r.Down {
			continue
		}
		rest -= r.trafficWeight
		if rest <= 0 {
			return r
		}
	}
	return f.Routers[0]
}

// sendRequest sends a client's request for a random function to a router.
func (f *Fleet) sendRequest(r *Router, tenant string, class int) {
	timeout := f.cfg.Settings.Classes[class].Deadline
	request := &Request{
		Tenant:            tenant,
		SentAt:            f.now,
		Timeout:           timeout,
		SentWhileDraining: r.rejectsNew,
		router:            r,
		fleet:             f,
	}
	f.Requests = append(f.Requests, request)
	function := policy.FunctionID(f.random.IntN(f.cfg.Functions) + 1)
	if version, released := f.versions[function]; released {
		function = version
		request.NewVersion = true
	}
	r.accept(router.Request{
		Responder: request,
		ID:        fmt.Sprintf("%016x", len(f.Requests)),
		Class:     class,
		Tenant:    tenant,
		Function: router.Function{
			Key:      fmt.Sprintf("%016x", uint64(function)),
			ID:       function,
			MemoryMB: requestMemoryMB,
			Lanes:    requestLanes,
			LoadTime: f.cfg.LoadTime,
		},
		Deadline: f.now + timeout - router.ResponseMargin,
	})
}
