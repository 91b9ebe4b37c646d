package server

import (
	"log/slog"

	"crankhold/internal/signals"
)

// Options names what a server reads beside the platform's configuration, and what ends it. An empty file name
// turns off what the file configures.
type Options struct {
	// Webhook names the file that configures the webhook receiver and the sender of notices.
	Webhook string
	// Export names the file that configures the export of flows.
	Export string
	// Routes names the routes file.
	Routes string
	// Addresses names the file that configures how workers' addresses are found.
	Addresses string
	// RoutesOptional treats a routes file that does not exist as none, at the start and at a reload.
	RoutesOptional bool
	// Stop begins a graceful shutdown when it is closed, as SIGTERM does. It may be nil.
	Stop <-chan struct{}
	// Signals delivers the signals caught since the program began. If it is nil, Serve catches them itself.
	Signals *signals.Signals
	// Logger is where the server logs. If it is nil, that is slog.Default().
	Logger *slog.Logger
}
