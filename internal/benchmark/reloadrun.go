package benchmark

import (
	"time"

	"crankhold/internal/fake"
)

// reloadRun is one load with reloads and the death of a pool, and what came of it.
type reloadRun struct {
	*record
	pools              *poolWatch
	bed                *fake.Testbed
	router             *process
	routesPath         string // the path of the routes file
	reloads            int
	unmatchedResponses int // responses to no request

	startedAt       time.Time
	poolKilledAt    time.Time // the large workers are killed
	poolRestartedAt time.Time // and started again
	endsAt          time.Time
}

// start starts the fakes and the router, which routes by routesA.
func (r *reloadRun) start(program string) error {
	workers := workerConfigs(12, "s-%d", fake.WorkerConfig{
		ServiceTime: 20 * time.Millisecond, LoadTime: 300 * time.Millisecond, KeepAlive: 10 * time.Second, Lanes: 8, Queue: 64})
	kinds := []string{kindLarge, kindLarge, kindSmall, kindSmall, kindSpare}
	for i := range workers {
		workers[i].Kind = kinds[i%len(kinds)]
	}
	bed, err := startTestbed(workers, r.event)
	if err != nil {
		return err
	}
	r.bed = bed
	r.routesPath = bed.Path("routes.crank")
	if err := r.writeRoutes(0); err != nil {
		bed.Close()
		return err
	}
	r.router, err = startRouterOn(bed, program, "CRANKHOLD_ROUTES="+r.routesPath)
	if err != nil {
		bed.Close()
		return err
	}
	r.pools.reloadEnds()
	return nil
}

func (r *reloadRun) writeRoutes(file int) error {
	_, err := r.bed.WriteFile("routes.crank", []byte(watchedRoutes[file].text))
	return err
}

// disturb reloads the other routes file each second, and kills the large workers for a time.
func (r *reloadRun) disturb() error {
	dead := false
	for n := 1; ; n++ {
		next := r.startedAt.Add(time.Duration(n) * time.Second)
		if next.After(r.endsAt) {
			return nil
		}
		time.Sleep(time.Until(next))
		now := time.Now()
		switch {
		case !dead && now.After(r.poolKilledAt) && now.Before(r.poolRestartedAt):
			r.killPool()
			dead = true
		case dead && now.After(r.poolRestartedAt):
			if err := r.restartPool(); err != nil {
				return err
			}
			dead = false
		}
		if err := r.reload(n % len(watchedRoutes)); err != nil {
			return err
		}
	}
}

// poolWorkers returns the workers of the pool that dies.
func (r *reloadRun) poolWorkers() (list []*fake.Worker) {
	for _, w := range r.bed.Site.Workers {
		if w.Kind == kindLarge {
			list = append(list, w)
		}
	}
	return list
}

func (r *reloadRun) killPool() {
	for _, w := range r.poolWorkers() {
		w.Kill()
	}
}

func (r *reloadRun) restartPool() error {
	for _, w := range r.poolWorkers() {
		if err := w.Start(); err != nil {
			return err
		}
	}
	return nil
}

// reload replaces the routes file and has the router follow.
func (r *reloadRun) reload(file int) error {
	r.mu.Lock()
	r.pools.reloadBegins(file)
	r.mu.Unlock()
	if err := r.writeRoutes(file); err != nil {
		return err
	}
	if err := r.router.reload(); err != nil {
		return err
	}
	r.reloads++
	r.mu.Lock()
	r.pools.reloadEnds()
	r.mu.Unlock()
	return nil
}
