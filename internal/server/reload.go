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
// routes and the discovery server's address. It reads the files on the goroutine that calls reload, and applies them on
// the event loop's goroutine.
type reloader struct {
	config  *config.Config // the one that the server started with
	options Options
	reread  func() (*config.Config, error)
	logger  *slog.Logger

	loop       *eventloop.Loop
	core       *router.Core
	discovery  *discovery.Client
	membership *membership
}

// reloadResult holds what a reload has read. An invalid routes file does not prevent a valid configuration from being
// applied.
type reloadResult struct {
	config    *config.Config
	configErr error
	routes    *route.Table // nil if there is no routes file
	routesErr error
}

// watch reloads once for each signal from requests until closed is closed. It blocks and must not be called on the
// event loop.
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
	r.loop.PostNamed("reload", func() { r.apply(result) })
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

// apply applies what may change while the server runs: the discovery server's address and the routes. It runs on the
// event loop's goroutine.
func (r *reloader) apply(result reloadResult) {
	if result.configErr != nil {
		r.logger.Warn("config_reload_failed", slog.Any("err", result.configErr))
		return
	}
	newConfig := result.config
	r.logger.Info("config_reloaded", slog.String("names", newConfig.DiscoveryAddr))
	r.discovery.SetServer(r.loop.Now(), newConfig.DiscoveryAddr)
	if changed := r.config.KeysNeedingRestart(newConfig); len(changed) > 0 {
		r.logger.Warn("config_restart_required", slog.Any("settings", changed))
	}
	if result.routesErr != nil {
		r.logRejectedRoutes(result.routesErr)
	} else {
		r.replaceRoutes(result.routes)
	}
	r.membership.publish()
}
