package server

import (
	"fmt"
	"hash/fnv"
	"log/slog"
	"os"
	"slices"
	"time"

	"github.com/BurntSushi/toml"

	"crankhold/internal/config"
	"crankhold/internal/discovery"
	"crankhold/internal/endpoint"
	"crankhold/internal/eventloop"
	"crankhold/internal/route"
	"crankhold/internal/router"
	"crankhold/internal/workerclient"
	"crankhold/policy"
)

// addresses is the file that says how workers' addresses are found.
type addresses struct {
	UnixInTXT bool `toml:"unix_in_txt"`
}

// readAddresses reads the file, or what holds where there is none.
func readAddresses(name string) (a addresses, err error) {
	if name == "" {
		return a, nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return a, fmt.Errorf("addresses file: %w", err)
	}
	meta, err := toml.Decode(string(text), &a)
	if err != nil {
		return a, fmt.Errorf("addresses file %s: %w", name, err)
	}
	if odd := meta.Undecoded(); len(odd) > 0 {
		return a, fmt.Errorf("addresses file %s: unknown setting %s", name, odd[0])
	}
	return a, nil
}

// staff brings the directory's list and what the routes file says of workers together, and hands it to those who
// need it.
type staff struct {
	lp   *eventloop.Loop
	core *router.Core
	pool *workerclient.Pool
	c    *config.Config
	list []discovery.Worker
	left map[string]bool          // names that were listed and then were not: their processes have ended
	back map[string]time.Duration // when a name of those was listed again
}

func newStaff(lp *eventloop.Loop, core *router.Core, pool *workerclient.Pool, c *config.Config) *staff {
	return &staff{lp: lp, core: core, pool: pool, c: c, left: map[string]bool{}, back: map[string]time.Duration{}}
}

// mostLeft bounds the names that are remembered after they left.
const mostLeft = 4096

// follow takes in a list of the directory's. One without any worker says nothing of the processes that it leaves out.
func (s *staff) follow(list []discovery.Worker) {
	if len(list) > 0 {
		s.returned(list)
	}
	s.list = list
	s.again()
}

// returned notes which names were left out of a list and are back. Such a name is another process's, and as cold as
// any that starts, though the directory tells no start of it.
func (s *staff) returned(list []discovery.Worker) {
	if len(s.left) > mostLeft { // they left for good, as a rule: new processes have new names
		clear(s.left)
	}
	listed := map[string]bool{}
	for _, w := range list {
		if listed[w.Name] = true; s.left[w.Name] {
			delete(s.left, w.Name)
			s.back[w.Name] = s.lp.Now()
		}
	}
	for _, w := range s.list {
		if !listed[w.Name] {
			s.left[w.Name] = true
			delete(s.back, w.Name)
		}
	}
}

// started is when a worker's process started, or 0 where it has been listed since the start and the list tells none.
func (s *staff) started(w discovery.Worker) time.Duration {
	if w.Started == 0 {
		return s.back[w.Name]
	}
	return max(s.lp.FromUnix(time.UnixMilli(w.Started)), 1)
}

// again hands the list out. Entries that lead to one process are one worker: it drains as soon as one of them does.
// It is known by all their names together, so that when one of them leaves the list, the process that it named has
// ended and what is left is another worker.
func (s *staff) again() {
	table := s.core.Routes()
	members, static := make([]endpoint.Entry, len(s.list)), make([]route.Worker, len(s.list))
	for i, w := range s.list {
		if table != nil {
			static[i], _ = table.StaticWorker(w.Name)
		}
		members[i] = endpoint.Entry{Name: w.Name, Addrs: slices.Concat(w.Addrs, static[i].Addrs), Same: static[i].Same}
	}
	l := policy.EndpointList{Kind: policy.EndpointSnapshot}
	present := map[policy.WorkerID]bool{}
	var labels []route.Worker
	for _, group := range endpoint.GroupAliases(members) {
		key := endpoint.GroupName(members, group)
		first := s.list[group[0]]
		e := policy.Endpoint{Worker: workerID(key), State: first.State, Weight: first.Weight, Cell: first.Cell,
			Zone: max(slices.Index(s.c.Network.FailureDomains, first.Zone), 0)}
		var addrs []endpoint.Addr
		var prefer []endpoint.Network
		for _, i := range group {
			w := s.list[i]
			if w.State != policy.Ready {
				e.State = w.State
			}
			e.Started = max(e.Started, s.started(w))
			e.Weight = max(e.Weight, w.Weight)
			addrs = append(addrs, members[i].Addrs...)
			prefer = append(prefer, static[i].Prefer...)
			labels = append(labels, route.Worker{ID: e.Worker, Name: w.Name, Kind: w.Kind, Zone: w.Zone, Cell: w.Cell, MemoryMB: s.c.KindMemoryMB(w.Kind)})
		}
		present[e.Worker] = true
		s.pool.SetWorker(e.Worker, addrs, e.State, prefer...)
		l.Workers = append(l.Workers, e)
		slog.Info("worker_updated", "name", key, "addrs", fmt.Sprint(addrs), "state", e.State, "weight", e.Weight, "started", first.Started)
	}
	s.pool.RetainWorkers(present)
	s.core.SetEndpoints(l)
	s.core.SetRouteWorkers(labels)
}

// workerID returns a worker's id for the module, the same at every router: it is made of the name.
func workerID(name string) policy.WorkerID {
	h := fnv.New64a()
	h.Write([]byte(name))
	return policy.WorkerID(h.Sum64())
}
