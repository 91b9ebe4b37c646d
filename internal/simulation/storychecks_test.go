package simulation

import (
	"errors"
	"fmt"
	"time"

	"crankhold/internal/router"
	"crankhold/policy"
)

func (s *story) thenDrainIsFollowed(worker int) error {
	late := 0
	for _, r := range s.fleet.Routers {
		late += r.Violations.SentAfterDrain
	}
	if received := len(s.fleet.Workers[policy.WorkerID(worker)].Received); late > 0 || received == 0 {
		return fmt.Errorf("%d messages sent too late; the worker received %d requests in total", late, received)
	}
	return nil
}

func (s *story) thenEachRequestHasOneResponse() error {
	if len(s.fleet.Requests) < 1000 {
		return fmt.Errorf("only %d requests", len(s.fleet.Requests))
	}
	for _, r := range s.fleet.Requests {
		if len(r.Responses) != 1 || r.Latency > r.Timeout {
			return fmt.Errorf("a request at %v has %d responses, the last after %v", r.SentAt, len(r.Responses), r.Latency)
		}
	}
	return nil
}

// percentOf returns the percentage of the selected requests that match, and the number of selected requests.
func percentOf(requests []*Request, selected, match func(*Request) bool) (percent, n int) {
	matching := 0
	for _, r := range requests {
		if !selected(r) {
			continue
		}
		n++
		if match(r) {
			matching++
		}
	}
	return matching * 100 / max(n, 1), n
}

func servedWithin(limit time.Duration) func(*Request) bool {
	return func(r *Request) bool {
		return len(r.Responses) == 1 && r.Responses[0].Status == router.Served && r.Latency <= limit
	}
}

func (s *story) thenServed(minPercent int) error {
	sentBeforeDrain := func(r *Request) bool { return !r.SentWhileDraining }
	if percent, n := percentOf(s.fleet.Requests, sentBeforeDrain, servedWithin(time.Hour)); percent < minPercent {
		return fmt.Errorf("%d in 100 of %d requests were served", percent, n)
	}
	return nil
}

func (s *story) thenTenantServed(minPercent int, tenant string) error {
	ofTenant := func(r *Request) bool { return r.Tenant == tenant }
	if percent, n := percentOf(s.fleet.Requests, ofTenant, servedWithin(time.Second)); percent < minPercent || n == 0 {
		return fmt.Errorf("%d in 100 of %d requests were served in time", percent, n)
	}
	return nil
}

// thenNotOverloaded checks the number of requests that the started worker received in each overload window. A worker
// starts with a fifth of the capacity of a warm worker, and more than a multiple of its capacity overloads it.
func (s *story) thenNotOverloaded() error {
	warmCapacity := float64(s.cfg.Slots) / s.cfg.ServiceTime.Seconds()
	allowed := s.cfg.Settings.OverloadMultiple * s.cfg.Settings.SlowStartInitialCapacity * warmCapacity
	received := s.started.Received
	for i, from := range received {
		n := 0
		for _, at := range received[i:] {
			if at < from+s.cfg.Settings.OverloadWindow {
				n++
			}
		}
		if float64(n) > allowed {
			return fmt.Errorf("%d requests within a second, %.0f allowed", n, allowed)
		}
	}
	return nil
}

func (s *story) thenReceivesSome() error {
	if len(s.started.Received) < 10 {
		return fmt.Errorf("the started worker received %d requests", len(s.started.Received))
	}
	return nil
}

func (s *story) thenLateRequestsAreRejected() error {
	late := func(r *Request) bool { return r.SentWhileDraining }
	rejectedAtOnce := func(r *Request) bool { return r.Responses[0].Status == router.Rejected && r.Latency == 0 }
	if percent, n := percentOf(s.fleet.Requests, late, rejectedAtOnce); percent != 100 && n > 0 {
		return fmt.Errorf("%d in 100 of %d requests after the grace period were rejected immediately", percent, n)
	}
	return nil
}

func (s *story) thenTerminatedHaveExited() error {
	for _, r := range s.terminated {
		if !r.Down || r.OpenRequests() > 0 {
			return fmt.Errorf("a terminated router: down %v, %d open requests", r.Down, r.OpenRequests())
		}
	}
	if len(s.terminated) == 0 {
		return errors.New("no router was terminated")
	}
	return nil
}
