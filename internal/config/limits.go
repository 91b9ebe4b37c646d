package config

import "time"

const (
	// reservedDescriptors are kept for what is neither a client nor a worker: pollers, listeners, the socket to the
	// discovery server, notices, files, and an accepted connection that is yet to be closed for want of room.
	reservedDescriptors = 32

	// clientShare is the part of the descriptors, as its divisor, that accepted connections may take.
	clientShare = 3

	// referenceMemoryMB is the memory limit at which ScaleToMemory returns bounds unchanged.
	referenceMemoryMB = 192

	// requestsPerMB is how many requests may be open for each MB: at 2 KiB for each, bodies aside, a sixteenth of the
	// memory.
	requestsPerMB = 32

	// longestRejectionRetryAfter bounds the Retry-After of requests that are rejected for want of room.
	longestRejectionRetryAfter = time.Second
)

// MaxClientConnections returns how many accepted connections there may be.
func (c *Config) MaxClientConnections() int { return c.Limits.MaxDescriptors / clientShare }

// MaxWorkerConnections returns how many connections to workers there may be: what clients and the reserve leave.
func (c *Config) MaxWorkerConnections() int {
	return c.Limits.MaxDescriptors - c.MaxClientConnections() - min(reservedDescriptors, c.Limits.MaxDescriptors/4)
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

// RejectionRetryAfter returns the Retry-After of requests that are rejected for want of room, or 0 where the settings
// allow none.
func (c *Config) RejectionRetryAfter() time.Duration {
	if !c.Policy.RetryAfterSupported {
		return 0
	}
	return min(longestRejectionRetryAfter, c.Policy.MaxRetryAfter)
}
