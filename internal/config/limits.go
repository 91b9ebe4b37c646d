package config

import "time"

const (
	// reservedDescriptors is the number of descriptors kept for everything other than connections of clients and to
	// workers: pollers, listeners, the socket to the discovery server, notices, files, and an accepted connection above
	// the limit that is not closed yet.
	reservedDescriptors = 32

	// clientConnectionDivisor limits accepted connections to a third of the descriptors.
	clientConnectionDivisor = 3

	// maxReservedDivisor limits the reserve to a quarter of the descriptors, if that is below reservedDescriptors.
	maxReservedDivisor = 4

	// referenceMemoryMB is the lowest memory limit at which ScaleToMemory returns bounds unchanged.
	referenceMemoryMB = 192

	// programMB is about the memory that a router takes before it has routes or requests.
	programMB = 16

	// requestsPerMB is the number of requests that may be open for each MB of the memory limit. At 2 KiB for each
	// request, without its body, they take a sixteenth of the memory.
	requestsPerMB = 32

	// maxFunctions and maxReplicas are the functions, and the replicas at workers, for which estimates are kept at a
	// memory limit of referenceMemoryMB.
	maxFunctions = 48 << 10
	maxReplicas  = 24 << 10

	// maxSpentIDs is how many IDs of requests that must not run again are remembered, at the same memory limit.
	maxSpentIDs = 32 << 10

	// maxRejectionRetryAfter limits the Retry-After of requests that are rejected for lack of capacity.
	maxRejectionRetryAfter = time.Second
)

// MaxClientConnections returns the limit on accepted connections.
func (c *Config) MaxClientConnections() int { return c.Limits.MaxDescriptors / clientConnectionDivisor }

// MaxWorkerConnections returns the limit on connections to workers: the descriptors that remain after accepted
// connections and the reserve.
func (c *Config) MaxWorkerConnections() int {
	reserved := min(reservedDescriptors, c.Limits.MaxDescriptors/maxReservedDivisor)
	return c.Limits.MaxDescriptors - c.MaxClientConnections() - reserved
}

// ScaleToMemory scales a bound, which is meant for a memory limit of referenceMemoryMB, down to a lower limit. The
// program's own memory is left out of both limits, so that all bounds together fit into what is left.
func (c *Config) ScaleToMemory(bound int) int {
	return min(bound, c.shareOfMemory(bound))
}

// shareOfMemory scales a bound, which is meant for a memory limit of referenceMemoryMB, to the actual limit. The
// program's own memory is left out of both limits.
func (c *Config) shareOfMemory(bound int) int {
	available := max(c.Limits.MemoryMB-programMB, 1)
	return int(int64(bound) * int64(available) / (referenceMemoryMB - programMB))
}

// MaxConcurrentRequests returns the limit on requests that are open at the same time.
func (c *Config) MaxConcurrentRequests() int {
	return min(c.Network.Limits.MaxOpenRequests, c.Limits.MemoryMB*requestsPerMB)
}

// MaxFunctions returns the limit on the functions for which estimates are kept.
func (c *Config) MaxFunctions() int { return c.ScaleToMemory(maxFunctions) }

// MaxReplicas returns the limit on the replicas at workers for which estimates are kept.
func (c *Config) MaxReplicas() int { return c.ScaleToMemory(maxReplicas) }

// MaxSpentIDs returns the limit on the remembered IDs of requests that must not run again.
func (c *Config) MaxSpentIDs() int { return c.ScaleToMemory(maxSpentIDs) }

// RejectionRetryAfter returns the Retry-After of requests that are rejected for lack of capacity, or 0 if the settings
// allow none.
func (c *Config) RejectionRetryAfter() time.Duration {
	if !c.Policy.RetryAfterSupported {
		return 0
	}
	return min(maxRejectionRetryAfter, c.Policy.MaxRetryAfter)
}
