package config

import "time"

const (
	// reservedDescriptors are kept for what is neither a client nor a worker: pollers, listeners, the socket to the
	// discovery server, notices, files, and an accepted connection beyond the limit that is yet to be closed.
	reservedDescriptors = 32

	// clientConnectionDivisor sets how many accepted connections there may be: a third of the descriptors.
	clientConnectionDivisor = 3

	// maxReservedDivisor bounds reservedDescriptors by a quarter of all descriptors.
	maxReservedDivisor = 4

	// referenceMemoryMB is the memory limit at which ScaleToMemory returns bounds unchanged.
	referenceMemoryMB = 192

	// requestsPerMB is how many requests may be open for each MB: at 2 KiB for each, bodies aside, a sixteenth of the
	// memory.
	requestsPerMB = 32

	// longestRejectionRetryAfter bounds the Retry-After of requests that are rejected for lack of capacity.
	maxRejectionRetryAfter = time.Second
)

// MaxClientConnections returns how many accepted connections there may be.
func (c *Config) MaxClientConnections() int { return c.Limits.MaxDescriptors / clientConnectionDivisor }

// MaxWorkerConnections returns how many connections to workers there may be: what accepted connections and the reserve
// leave.
func (c *Config) MaxWorkerConnections() int {
	reserved := min(reservedDescriptors, c.Limits.MaxDescriptors/maxReservedDivisor)
	return c.Limits.MaxDescriptors - c.MaxClientConnections() - reserved
}

// ScaleToMemory scales a bound in bytes that is right for referenceMemoryMB to the memory limit. The bounds on what is
// held for peers come to 80 MiB of those 192 MB, and keep that proportion at any lower limit.
func (c *Config) ScaleToMemory(bytes int) int {
	return bytes * min(c.Limits.MemoryMB, referenceMemoryMB) / referenceMemoryMB
}

// MaxConcurrentRequests returns how many requests may be open at once.
func (c *Config) MaxConcurrentRequests() int {
	return min(c.Network.Limits.MaxOpenRequests, c.Limits.MemoryMB*requestsPerMB)
}

// RejectionRetryAfter returns the Retry-After of requests that are rejected for lack of capacity, or 0 where the
// settings allow none.
func (c *Config) RejectionRetryAfter() time.Duration {
	if !c.Policy.RetryAfterSupported {
		return 0
	}
	return min(maxRejectionRetryAfter, c.Policy.MaxRetryAfter)
}
