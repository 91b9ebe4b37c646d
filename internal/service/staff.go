package service

import (
	"fmt"
	"hash/fnv"
	"log/slog"
	"os"
	"slices"
	"time"

	"github.com/BurntSushi/toml"

	"crankhold/internal/directory"
	"crankhold/internal/loop"
	"crankhold/internal/path"
	"crankhold/internal/platform"
	"crankhold/internal/resp"
	"crankhold/internal/route"
	"crankhold/internal/router"
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
	lp   *loop.Loop
	core *router.Core
	pool *resp.Pool
	c    *platform.Config
	list []directory.Worker
}

// follow takes in a list of the directory's.
func (s *staff) follow(list []directory.Worker) {
	s.list = list
	s.again()
}

// again hands the list out. Entries that lead to one process are one worker: it drains as soon as one of them does.
// It is known by all their names together, so that when one of them leaves the list, the process that it named has
// ended and what is left is another worker.
func (s *staff) again() {
	table := s.core.Routes()
	members, static := make([]path.Member, len(s.list)), make([]route.Worker, len(s.list))
	for i, w := range s.list {
		if table != nil {
			static[i], _ = table.Static(w.Name)
		}
		members[i] = path.Member{Name: w.Name, Addrs: slices.Concat(w.Addrs, static[i].Addrs), Same: static[i].Same}
	}
	l := policy.WorkerList{Kind: policy.ListWhole}
	present := map[policy.WorkerID]bool{}
	var labels []route.Worker
	for _, group := range path.Groups(members) {
		key := path.Key(members, group)
		first := s.list[group[0]]
		e := policy.WorkerEntry{Worker: workerID(key), State: first.State, Weight: first.Weight, Cell: first.Cell,
			Zone: max(slices.Index(s.c.Network.FailureDomains, first.Zone), 0)}
		var addrs []path.Addr
		var prefer []path.Network
		started := int64(0)
		for _, i := range group {
			w := s.list[i]
			if w.State != policy.Ready {
				e.State = w.State
			}
			started = max(started, w.Started)
			e.Weight = max(e.Weight, w.Weight)
			addrs = append(addrs, members[i].Addrs...)
			prefer = append(prefer, static[i].Prefer...)
			labels = append(labels, route.Worker{ID: e.Worker, Name: w.Name, Kind: w.Kind, Zone: w.Zone, Cell: w.Cell, MemoryMB: s.c.KindMemoryMB(w.Kind)})
		}
		if started > 0 {
			e.Started = max(s.lp.FromUnix(time.UnixMilli(started)), 1)
		}
		present[e.Worker] = true
		s.pool.Set(e.Worker, addrs, e.State, prefer...)
		l.Workers = append(l.Workers, e)
		slog.Info("worker", "name", key, "addrs", fmt.Sprint(addrs), "state", e.State, "weight", e.Weight, "started", started)
	}
	s.pool.Retain(present)
	s.core.SetList(l)
	s.core.SetLabels(labels)
}

// workerID returns a worker's id for the module, the same at every router: it is made of the name.
func workerID(name string) policy.WorkerID {
	h := fnv.New64a()
	h.Write([]byte(name))
	return policy.WorkerID(h.Sum64())
}
