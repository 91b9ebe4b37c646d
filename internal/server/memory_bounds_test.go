package server

import (
	"testing"

	"crankhold/internal/config"
)

// Memory that an entry of a table takes, with its place in maps and lists, in bytes. The capacity page lists them.
const (
	functionBytes       = 160
	replicaBytes        = 270
	trackedRequestBytes = 2 << 10 // in the core and the module, without its body
	rememberedIDBytes   = 20
	spentIDBytes        = 40
	windowEntryBytes    = 16

	trackedPerOpenRequest = 2       // requests in the tables for each that may be open
	windowEntries         = 2 << 14 // of the load budget: for requests and for load commands
	logBufferBytes        = 256 << 10
	programBytes          = 16 << 20 // without routes, requests and tables
)

// Guards against bounds that each fit the memory limit but not together: a router that peers drive to all its bounds at
// once must not be killed.
func TestAllBoundsTogetherFitTheMemoryLimit(t *testing.T) {
	for _, memory := range []int{32, 64, 192, 1024} {
		cfg := &config.Config{}
		cfg.Limits.MemoryMB = memory
		cfg.Network.Limits.MaxOpenRequests = 20000
		sum := programBytes + logBufferBytes + windowEntries*windowEntryBytes +
			cfg.MaxFunctions()*functionBytes +
			cfg.MaxReplicas()*replicaBytes +
			cfg.MaxConcurrentRequests()*trackedPerOpenRequest*trackedRequestBytes +
			cfg.ScaleToMemory(maxRememberedIDs)*rememberedIDBytes +
			cfg.MaxSpentIDs()*spentIDBytes
		for _, bound := range []int{
			maxQueuedBytes, // of workers and discovery
			maxQueuedBytes, // of clients
			maxUnreadBytes, maxPartialBytes, maxRequestBytes, maxWebhookOutcomeBytes,
		} {
			sum += cfg.ScaleToMemory(bound)
		}
		if limit := memory << 20; sum > limit {
			t.Errorf("at %d MB all bounds together take %.1f MB", memory, float64(sum)/(1<<20))
		}
	}
}
