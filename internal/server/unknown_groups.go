package server

import (
	"log/slog"
	"slices"

	"crankhold/internal/config"
	"crankhold/internal/discovery"
	"crankhold/internal/endpoint"
	"crankhold/policy"
)

// unknownGroups logs workers whose zone, kind or cell the router can't use, once for each worker and value, and counts
// them. A request with an idempotency key that may have run at such a worker may get no further attempt. It belongs to
// the event loop's goroutine.
type unknownGroups struct {
	config *config.Config
	logger *slog.Logger

	// Numbers of listed workers.
	zones int
	kinds int
	cells int

	logged map[unknownGroup]bool // of the current list
}

// unknownGroup is a property of a worker that can't be used.
type unknownGroup struct {
	worker endpoint.NameKey
	field  string
	value  string
}

// update counts the workers of a list, and logs what was not so in the list before.
func (u *unknownGroups) update(list []discovery.Worker) {
	logged := map[unknownGroup]bool{}
	u.zones = 0
	u.kinds = 0
	u.cells = 0
	count := func(worker discovery.Worker, isUnknown bool, field, value string, counter *int) {
		if !isUnknown {
			return
		}
		*counter++
		unknown := unknownGroup{endpoint.KeyOf(worker.Name), field, value}
		if !u.logged[unknown] {
			u.log(worker, field, value)
		}
		logged[unknown] = true
	}
	usesZones := len(u.config.Network.Zones) > 0 || u.hasClassIn(policy.DeduplicatedInZone)
	usesCells := u.hasClassIn(policy.DeduplicatedInCell)
	usesKinds := len(u.config.Network.Kinds) > 0
	for _, worker := range list {
		count(worker, usesZones && !u.config.ZoneGroup(worker.Zone).IsKnown(), "zone", worker.Zone, &u.zones)
		count(worker, usesKinds && !slices.Contains(u.config.Network.Kinds, worker.Kind), "kind", worker.Kind, &u.kinds)
		count(worker, usesCells && !worker.Cell.IsKnown(), "cell", "", &u.cells)
	}
	u.logged = logged
}

// hasClassIn reports whether requests of some class with an idempotency key are repeated within this scope.
func (u *unknownGroups) hasClassIn(scope policy.DeduplicationScope) bool {
	return slices.ContainsFunc(u.config.Policy.Classes, func(class policy.Class) bool {
		return class.Idempotency == policy.IdempotentWithKey && class.DeduplicationScope == scope
	})
}

func (u *unknownGroups) log(worker discovery.Worker, field, value string) {
	u.logger.Warn("worker_group_unknown",
		slog.String("name", worker.Name),
		slog.String("field", field),
		slog.String("value", value))
}

// logCounters logs how many of the listed workers have a zone, kind or cell that isn't known.
func (u *unknownGroups) logCounters() {
	logCounterLine(u.logger,
		slog.Int("unknown_zones", u.zones),
		slog.Int("unknown_kinds", u.kinds),
		slog.Int("unknown_cells", u.cells))
}
