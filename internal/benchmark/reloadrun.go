package benchmark

import (
	"time"

	"crankhold/internal/fake"
)

// reloadRun is a load with reloads during which the workers of one pool are killed and restarted, and its results.
type reloadRun struct {
	*record
	watch              *poolWatch // guarded by the record's lock
	bed                *fake.Testbed
	router             *process
	schedule           reloadSchedule
	reloads            int
	unmatchedResponses int // responses that match no request in flight
}

// reloadSchedule says when the large workers are killed and restarted. They are the pool of class dim-level.
type reloadSchedule struct {
	startedAt       time.Time
	poolKilledAt    time.Time
	poolRestartedAt time.Time
	endsAt          time.Time
}

func newReloadSchedule(startedAt time.Time, length time.Duration) reloadSchedule {
	return reloadSchedule{
		startedAt:       startedAt,
		poolKilledAt:    startedAt.Add(length * 4 / 10),
		poolRestartedAt: startedAt.Add(length * 6 / 10),
		endsAt:          startedAt.Add(length),
	}
}

// poolIsDown reports whether the large workers are scheduled to be down at a time.
func (s reloadSchedule) poolIsDown(at time.Time) bool {
	return at.After(s.poolKilledAt) && at.Before(s.poolRestartedAt)
}

// startReloadRun starts the fakes, and a router with the routes of routesA.
func startReloadRun(program string) (*reloadRun, error) {
	watch := newPoolWatch()
	r := &reloadRun{record: newRecord(watch.event), watch: watch}
	bed, err := startTestbed(reloadWorkers(), r.event)
	if err != nil {
		return nil, err
	}
	r.bed = bed
	routes, err := r.writeRoutes(0)
	if err != nil {
		bed.Close()
		return nil, err
	}
	r.router, err = startRouterOn(bed, program, "CRANKHOLD_ROUTES="+routes)
	if err != nil {
		bed.Close()
		return nil, err
	}
	watch.reloadCompleted()
	return r, nil
}

// close stops the router and the fakes. It blocks until they have stopped.
func (r *reloadRun) close() {
	r.router.stop()
	r.bed.Close()
}

// reloadWorkers returns the configurations of twelve workers of three kinds.
func reloadWorkers() []fake.WorkerConfig {
	workers := workerConfigs(12, "s-%d", fake.WorkerConfig{
		ServiceTime: 20 * time.Millisecond,
		LoadTime:    300 * time.Millisecond,
		KeepAlive:   10 * time.Second,
		Lanes:       8,
		Queue:       64,
	})
	kinds := []string{kindLarge, kindLarge, kindSmall, kindSmall, kindSpare}
	for i := range workers {
		workers[i].Kind = kinds[i%len(kinds)]
	}
	return workers
}

// writeRoutes writes the routes file with the given index in watchedRoutes and returns its path.
func (r *reloadRun) writeRoutes(file int) (path string, err error) {
	return r.bed.WriteFile("routes.crank", []byte(watchedRoutes[file].text))
}

// followSchedule makes the router reload the other routes file each second, and kills and restarts the large workers as
// scheduled. It blocks until the end of the schedule.
func (r *reloadRun) followSchedule() error {
	down := false
	for n := 1; ; n++ {
		next := r.schedule.startedAt.Add(time.Duration(n) * time.Second)
		if next.After(r.schedule.endsAt) {
			return nil
		}
		time.Sleep(time.Until(next))
		wantDown := r.schedule.poolIsDown(time.Now())
		switch {
		case wantDown && !down:
			r.killPool()
		case !wantDown && down:
			if err := r.restartPool(); err != nil {
				return err
			}
		}
		down = wantDown
		if err := r.reload(n % len(watchedRoutes)); err != nil {
			return err
		}
	}
}

// largeWorkers returns the large workers, which are killed and restarted.
func (r *reloadRun) largeWorkers() (list []*fake.Worker) {
	for _, w := range r.bed.Site.Workers {
		if w.Kind == kindLarge {
			list = append(list, w)
		}
	}
	return list
}

func (r *reloadRun) killPool() {
	for _, w := range r.largeWorkers() {
		w.Kill()
	}
}

func (r *reloadRun) restartPool() error {
	for _, w := range r.largeWorkers() {
		if err := w.Start(); err != nil {
			return err
		}
	}
	return nil
}

// reload replaces the routes file and makes the router reload it.
func (r *reloadRun) reload(file int) error {
	r.mu.Lock()
	r.watch.reloadStarted(file)
	r.mu.Unlock()
	if _, err := r.writeRoutes(file); err != nil {
		return err
	}
	if err := r.router.reload(); err != nil {
		return err
	}
	r.reloads++
	r.mu.Lock()
	r.watch.reloadCompleted()
	r.mu.Unlock()
	return nil
}
