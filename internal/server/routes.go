package server

import (
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strings"

	"crankhold/internal/config"
	"crankhold/internal/lang"
	"crankhold/internal/lang/syntax"
	"crankhold/internal/route"
)

// CheckRoutesFile reads and checks a routes file and all that it includes; platform may be nil. Includes can't leave
// the folder of the first file, not through symbolic links either.
func CheckRoutesFile(name string, platform *lang.Platform) (*lang.Result, error) {
	dir, file := filepath.Split(name)
	if dir == "" {
		dir = "."
	}
	root, err := os.OpenRoot(dir)
	if err != nil {
		return nil, err
	}
	defer root.Close()
	return lang.Check(root.FS(), file, filepath.ToSlash(filepath.Clean(dir)), platform)
}

// readRoutes compiles the routes file, and logs the checker's warnings. It returns nil where there is no file.
func readRoutes(options Options, cfg *config.Config) (*route.Table, error) {
	if options.Routes == "" {
		return nil, nil
	}
	result, err := CheckRoutesFile(options.Routes, cfg.RoutingPlatform())
	if options.RoutesOptional && errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	for _, note := range result.Notes {
		slog.Warn("routes_warned", slog.String("at", note.Pos.String()), slog.String("note", note.Msg))
	}
	if err := result.Err(); err != nil {
		return nil, err
	}
	return route.Compile(&result.Spec, cfg.ClassNames())
}

// loadFirstRoutes reads the routes file at the start and enables its routes.
func (s *Server) loadFirstRoutes() error {
	table, err := readRoutes(s.options, s.config)
	if err != nil || table == nil {
		return err
	}
	s.enableRoutes(table)
	s.membership.publish()
	return nil
}

// enableRoutes puts a first table in force.
func (s *Server) enableRoutes(table *route.Table) {
	s.core.SetRoutes(table)
	slog.Info("routes_enabled", slog.Int("routes", len(table.Routes())), slog.Int("pools", len(table.Pools())))
}

// replaceRoutes puts the table of a reload in force and logs what it changes. Open requests end under the old one.
// Where the file is gone (fresh is nil) the routes in force stay: to turn routes off takes a restart.
func (s *Server) replaceRoutes(fresh *route.Table) {
	current := s.core.Routes()
	switch {
	case fresh == nil && current == nil:
	case fresh == nil:
		slog.Error("routes_rejected", slog.String("err", "the file is gone; the routes that it held stay in force"))
	case current == nil:
		s.enableRoutes(fresh)
	default:
		s.swapRoutes(current, fresh)
	}
}

func (s *Server) swapRoutes(current, fresh *route.Table) {
	changes := route.Diff(current, fresh, s.config.NotIdempotent(), false)
	s.core.SetRoutes(fresh)
	slog.Info("routes_reloaded", slog.Int("changes", len(changes)), slog.Int("routes", len(fresh.Routes())))
	for _, change := range changes {
		slog.Info("route_changed", slog.String("of", change.Subject()), slog.String("before", change.Before), slog.String("after", change.After))
	}
}

// logRejectedRoutes logs each fault of a routes file that can't be used.
func logRejectedRoutes(err error) {
	for _, line := range faultLines(err) {
		slog.Error("routes_rejected", slog.String("err", line))
	}
}

// faultLines splits an error into the text of its faults.
func faultLines(err error) []string {
	var faults syntax.Faults
	if !errors.As(err, &faults) {
		return []string{err.Error()}
	}
	return strings.Split(faults.Error(), "\n")
}
