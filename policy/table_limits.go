package policy

// TableLimits limits the tables that clients can make grow, because they choose the functions that
// requests name. A limit of 0 means that there is none. Both must be above the number of requests that may
// be open.
type TableLimits struct {
	Functions int // functions with estimates
	Replicas  int // replicas at workers with an entry
}

// LimitTables sets the limits of the tables. It is called before the first event.
func (p *Policy) LimitTables(limits TableLimits) {
	p.functions.limit = limits.Functions
	p.replicas.limit = limits.Replicas
}

// TableCounters tells how full the tables are that clients can make grow.
type TableCounters struct {
	Functions        int    // functions with estimates now
	FunctionsEvicted uint64 // functions that were replaced because the table was full
	Replicas         int    // replicas with an entry now
	ReplicasEvicted  uint64 // replicas that were replaced because the table was full
}

// TableCounters returns the counters of the tables since the Policy was created.
func (p *Policy) TableCounters() TableCounters {
	return TableCounters{
		Functions:        len(p.functions.byID),
		FunctionsEvicted: p.functions.evicted,
		Replicas:         p.replicas.leastRecent.Len(),
		ReplicasEvicted:  p.replicas.evicted,
	}
}
