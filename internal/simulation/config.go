package simulation

import (
	"time"

	"crankhold/internal/route"
	"crankhold/policy"
)

// Config describes a fleet.
type Config struct {
	Routers   int
	Workers   int // at the start, all of them past their slow start
	Functions int
	// Settings are those of each router's decision module; New sets Settings.Routers.
	Settings policy.Config
	Tenants  []string
	// Routes compiles the routing table of one router; nil for none.
	Routes func() *route.Table

	// ServiceTime is how long a worker works on a request while it has a slot free.
	ServiceTime time.Duration
	// Slots is how many requests a worker works on at a time. It queues as many again and rejects the rest.
	Slots int
	// LoadTime is how long loading a replica takes.
	LoadTime time.Duration
	// ReplicasPerWorker is how many replicas fit into a worker's memory; 0 for any number.
	ReplicasPerWorker int
	// KeepIdleReplicas has idle replicas stay in memory. Otherwise they are unloaded when others need the memory.
	KeepIdleReplicas bool
	// UnevenTraffic has some routers receive several times the mean of the requests.
	UnevenTraffic bool

	// Seed is that of all random choices. Equal configurations give equal runs.
	Seed uint64
}
