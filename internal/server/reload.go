package server

import (
	"log/slog"
	"os"

	"crankhold/internal/config"
	"crankhold/internal/discovery"
	"crankhold/internal/eventloop"
	"crankhold/internal/route"
	"crankhold/internal/router"
)

// maxRereadRetries is how often reading the configuration file is retried if no descriptor is left for it. An idle
// client connection is closed before each retry.
const maxRereadRetries = 4

// reloader reads the configuration and the routes file again and applies what may change while the server runs: the
// routes and the discovery server's address. It reads, checks and compares on the goroutine that calls reload, and only
// replaces what is in force on the event loop's goroutine.
type reloader struct {
	config  *config.Config // the one that the server started with
	options Options
	reread  func() (*config.Config, error)
	logger  *slog.Logger

	loop       *eventloop.Loop
	core       *router.Core
	discovery  *discovery.Client
	membership *membership

	// current is the table in force, or nil. The goroutine that calls reload owns it once the server runs.
	current *route.Table
}

// reloadPart is the name of a reload in the log of long turns.
const reloadPart = "reload"

// watch reloads once for each signal from requests until closed is closed. It blocks and must not be called on the
// event loop.
func (r *reloader) watch(requests <-chan os.Signal, closed <-chan struct{}) {
	for {
		select {
		case <-requests:
			r.reload(closed)
		case <-closed:
			return
		}
	}
}

// reload reads the configuration and the routes again and has the event loop apply them. It returns when they are in
// force or the server is closed, so that at most one reload is in progress. It blocks and must not be called on the
// event loop, which goes on serving meanwhile.
func (r *reloader) reload(closed <-chan struct{}) {
	stages := newStageTimes()
	newConfig, err := r.rereadConfig()
	if err != nil {
		r.logger.Warn("config_reload_failed", slog.Any("err", err))
		return
	}
	r.logger.Info("config_reloaded", slog.String("names", newConfig.DiscoveryAddr))
	if changed := r.config.KeysNeedingRestart(newConfig); len(changed) > 0 {
		r.logger.Warn("config_restart_required", slog.Any("settings", changed))
	}
	stages.config = stages.sinceLast()
	table, comparison := r.prepareRoutes(stages)
	applied := make(chan struct{})
	r.loop.PostNamed(reloadPart, func() {
		r.apply(newConfig, table)
		close(applied)
	})
	select {
	case <-applied:
	case <-closed:
		return
	}
	stages.apply = stages.sinceLast()
	if table != nil {
		r.logReplacedRoutes(table, comparison)
		r.current = table
	}
	stages.log(r.logger)
}

// rereadConfig reads the configuration. If no descriptor is left for the file, it closes connections of idle clients to
// free one.
func (r *reloader) rereadConfig() (*config.Config, error) {
	newConfig, err := r.reread()
	for range maxRereadRetries {
		if !eventloop.IsDescriptorExhausted(err) || !r.loop.CloseIdleClient() {
			break
		}
		newConfig, err = r.reread()
	}
	return newConfig, err
}

// apply applies what may change while the server runs: the discovery server's address and the routes. A nil table
// leaves the routes as they are. It runs on the event loop's goroutine.
func (r *reloader) apply(newConfig *config.Config, table *route.Table) {
	r.discovery.SetServer(r.loop.Now(), newConfig.DiscoveryAddr)
	if table != nil {
		r.core.SetRoutes(table)
	}
	r.membership.publish()
}
