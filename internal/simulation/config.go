package simulation

import (
	"time"

	"crankhold/internal/route"
	"crankhold/policy"
)

// Config describes a fleet.
type Config struct {
	Routers   int
	Workers   int // number of workers at the start of the run; all of them have completed their slow start
	Functions int
	// Settings configure the decision module of each router. New sets Settings.Routers.
	Settings policy.Config
	Tenants  []string
	// Routes compiles the routing table of one router. If it is nil, routers have no routing table.
	Routes func() *route.Table

	// ServiceTime is how long a worker takes to execute a request while it has a free slot.
	ServiceTime time.Duration
	// Slots is how many requests a worker executes at a time. It queues the same number and rejects any others.
	Slots int
	// LoadTime is how long a worker takes to load a replica.
	LoadTime time.Duration
	// ReplicasPerWorker is how many replicas fit into a worker's memory; 0 means no limit.
	ReplicasPerWorker int
	// KeepIdleReplicas keeps idle replicas in memory. Otherwise they are unloaded when other replicas need the memory.
	KeepIdleReplicas bool
	// UnevenTraffic makes some routers receive several times the mean number of requests.
	UnevenTraffic bool

	// Seed seeds all random choices. Equal configurations give identical runs.
	Seed uint64
}
