package server

import (
	"log/slog"

	"crankhold/internal/signals"
)

// Options holds the files that a server reads in addition to the platform's configuration, and the channels that stop
// it. An empty file name disables what the file configures.
type Options struct {
	// WebhookFile names the file that configures the webhook receiver and the sender of notices.
	WebhookFile string
	// ExportFile names the file that configures the export of flow records.
	ExportFile string
	// RoutesFile names the routes file.
	RoutesFile string
	// AddressesFile names the file that configures how workers' addresses are found.
	AddressesFile string
	// RoutesOptional makes a routes file that does not exist count as an empty RoutesFile, at the start and at a
	// reload.
	RoutesOptional bool
	// Stop starts a graceful shutdown when it is closed, like SIGTERM. It may be nil.
	Stop <-chan struct{}
	// Signals delivers the signals caught since the program started. If it is nil, Serve catches them itself.
	Signals *signals.Signals
	// Logger is where the server logs. If it is nil, the server logs to slog.Default().
	Logger *slog.Logger
}
