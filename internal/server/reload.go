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

// maxRereadRetries is how many idle clients give up their connections, one after the other, for a configuration file
// that can't be opened because no descriptor is left.
const maxRereadRetries = 4

// reloader reads the files that may change while the server runs, and applies them: the routes, and the discovery
// server's address. It reads on the goroutine that calls reload, and applies on the event loop's goroutine.
type reloader struct {
	config  *config.Config // as of the start
	options Options
	reread  func() (*config.Config, error)
	logger  *slog.Logger

	loop       *eventloop.Loop
	core       *router.Core
	discovery  *discovery.Client
	membership *membership
}

// reloadResult is what a reload has read. Each file may be usable while the other is not.
type reloadResult struct {
	config    *config.Config
	configErr error
	routes    *route.Table // nil where there is no routes file
	routesErr error
}

// watch carries out a reload for each request until closed is closed. It blocks and must not be called on the event
// loop.
func (r *reloader) watch(requests <-chan os.Signal, closed <-chan struct{}) {
	for {
		select {
		case <-requests:
			r.reload()
		case <-closed:
			return
		}
	}
}

// reload reads the configuration and the routes again and has the event loop apply them. It blocks while it reads and
// must not be called on the event loop, which goes on serving meanwhile.
func (r *reloader) reload() {
	var result reloadResult
	result.config, result.configErr = r.rereadConfig()
	if result.configErr == nil {
		result.routes, result.routesErr = r.readRoutes()
	}
	r.loop.Post(func() { r.apply(result) })
}

// rereadConfig reads the configuration. Where no descriptor is left for the file, idle clients are closed to free one.
func (r *reloader) rereadConfig() (*config.Config, error) {
	fresh, err := r.reread()
	for range maxRereadRetries {
		if !eventloop.IsDescriptorExhausted(err) || !r.loop.CloseIdleClients() {
			break
		}
		fresh, err = r.reread()
	}
	return fresh, err
}

// apply applies what may change while the server runs, on the event loop's goroutine: the discovery server's address
// and the routes.
func (r *reloader) apply(result reloadResult) {
	if result.configErr != nil {
		r.logger.Warn("config_reload_failed", slog.Any("err", result.configErr))
		return
	}
	fresh := result.config
	r.logger.Info("config_reloaded", slog.String("names", fresh.DiscoveryAddr))
	r.discovery.SetServer(r.loop.Now(), fresh.DiscoveryAddr)
	if changed := r.config.NeedsRestart(fresh); len(changed) > 0 {
		r.logger.Warn("config_restart_required", slog.Any("settings", changed))
	}
	if result.routesErr != nil {
		r.logRejectedRoutes(result.routesErr)
	} else {
		r.replaceRoutes(result.routes)
	}
	r.membership.publish()
}
