package ledger

import "sync/atomic"

// Counters counts failures and recoveries of the ledger file.
type Counters struct {
	Failures   uint64 // failed writes, syncs and compactions, and failed attempts to recover
	Recoveries uint64 // successful recoveries of the file after a failure
	Unwritten  uint64 // entries that are kept in memory at present, until the file has recovered
}

// atomicCounters holds the counters that the writer's goroutine updates and any goroutine may read.
type atomicCounters struct{ failures, recoveries, unwritten atomic.Uint64 }

func (c *atomicCounters) load() Counters {
	return Counters{
		Failures:   c.failures.Load(),
		Recoveries: c.recoveries.Load(),
		Unwritten:  c.unwritten.Load(),
	}
}
