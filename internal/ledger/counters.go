package ledger

import "sync/atomic"

// Counters count what became of the ledger's file.
type Counters struct {
	Failures   uint64 // failed writes, syncs and compactions, and failed attempts to recover
	Recoveries uint64 // how often the file was whole again after a failure
	Unwritten  uint64 // entries that are kept in memory now, until the file has recovered
}

// atomicCounters are counters that the writer's goroutine changes and any goroutine reads.
type atomicCounters struct{ failures, recoveries, unwritten atomic.Uint64 }

func (c *atomicCounters) load() Counters {
	return Counters{
		Failures:   c.failures.Load(),
		Recoveries: c.recoveries.Load(),
		Unwritten:  c.unwritten.Load(),
	}
}
