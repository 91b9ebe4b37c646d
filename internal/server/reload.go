package server

import (
	"log/slog"

	"crankhold/internal/config"
	"crankhold/internal/eventloop"
	"crankhold/internal/route"
)

// maxRereadRetries is how many idle clients give up their connections, one after the other, for a configuration file
// that can't be opened because no descriptor is left.
const maxRereadRetries = 4

// reloadResult is what a reload has read. Each file may be usable while the other is not.
type reloadResult struct {
	config    *config.Config
	configErr error
	routes    *route.Table // nil where there is no routes file
	routesErr error
}

// watchReloadSignals carries out reloads until Close.
func (s *Server) watchReloadSignals() {
	for {
		select {
		case <-s.options.Signals.Reload:
			s.Reload()
		case <-s.closed:
			return
		}
	}
}

// Reload reads the configuration and the routes again and has the event loop apply them. It blocks while it reads and
// must not be called on the event loop's goroutine, which goes on serving meanwhile.
func (s *Server) Reload() {
	var result reloadResult
	result.config, result.configErr = s.rereadConfig()
	if result.configErr == nil {
		result.routes, result.routesErr = readRoutes(s.options, s.config)
	}
	s.loop.Post(func() { s.applyReload(result) })
}

// rereadConfig reads the configuration. Where no descriptor is left for the file, idle clients make room.
func (s *Server) rereadConfig() (*config.Config, error) {
	fresh, err := s.reread()
	for range maxRereadRetries {
		if !eventloop.IsDescriptorExhausted(err) || !s.loop.CloseIdleClients() {
			break
		}
		fresh, err = s.reread()
	}
	return fresh, err
}

// applyReload applies what may change while the server runs, on the event loop's goroutine: the discovery server's
// address and the routes.
func (s *Server) applyReload(result reloadResult) {
	if result.configErr != nil {
		slog.Warn("config_reload_failed", slog.Any("err", result.configErr))
		return
	}
	fresh := result.config
	slog.Info("config_reloaded", slog.String("names", fresh.DiscoveryAddr))
	s.discovery.SetServer(s.loop.Now(), fresh.DiscoveryAddr)
	if changed := s.config.NeedsRestart(fresh); len(changed) > 0 {
		slog.Warn("config_restart_required", slog.Any("settings", changed))
	}
	if result.routesErr != nil {
		logRejectedRoutes(result.routesErr)
	} else {
		s.replaceRoutes(result.routes)
	}
	s.membership.publish()
}
