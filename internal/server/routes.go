package server

import (
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strings"

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

// readRoutes compiles the routes file, and logs the checker's warnings. It returns nil where there is no file. It
// blocks while it reads.
func (r *reloader) readRoutes() (*route.Table, error) {
	if r.options.Routes == "" {
		return nil, nil
	}
	result, err := CheckRoutesFile(r.options.Routes, r.config.RoutingPlatform())
	if r.options.RoutesOptional && errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	for _, note := range result.Notes {
		r.logger.Warn("routes_warned", slog.String("at", note.Pos.String()), slog.String("note", note.Msg))
	}
	if err := result.Err(); err != nil {
		return nil, err
	}
	return route.Compile(&result.Spec, r.config.ClassNames())
}

// loadFirstRoutes reads the routes file at the start and enables its routes.
func (r *reloader) loadFirstRoutes() error {
	table, err := r.readRoutes()
	if err != nil || table == nil {
		return err
	}
	r.enableRoutes(table)
	r.membership.publish()
	return nil
}

// enableRoutes puts a first table in force.
func (r *reloader) enableRoutes(table *route.Table) {
	r.core.SetRoutes(table)
	r.logger.Info("routes_enabled",
		slog.Int("routes", len(table.Routes())),
		slog.Int("pools", len(table.Pools())))
}

// replaceRoutes puts the table of a reload in force and logs what it changes. Open requests end under the old one.
// Where the file is gone (fresh is nil) the routes in force stay: to turn routes off takes a restart.
func (r *reloader) replaceRoutes(fresh *route.Table) {
	current := r.core.Routes()
	switch {
	case fresh == nil && current == nil:
	case fresh == nil:
		r.logger.Error("routes_rejected", slog.String("err", "the file is gone; the routes that it held stay in force"))
	case current == nil:
		r.enableRoutes(fresh)
	default:
		r.swapRoutes(current, fresh)
	}
}

// swapRoutes puts a table in force in place of another one, and logs how they differ.
func (r *reloader) swapRoutes(current, fresh *route.Table) {
	changes := route.Diff(current, fresh, r.config.NotIdempotent(), false)
	r.core.SetRoutes(fresh)
	r.logger.Info("routes_reloaded",
		slog.Int("changes", len(changes)),
		slog.Int("routes", len(fresh.Routes())))
	for _, change := range changes {
		r.logger.Info("route_changed",
			slog.String("of", change.Subject()),
			slog.String("before", change.Before),
			slog.String("after", change.After))
	}
}

// logRejectedRoutes logs each fault of a routes file that can't be used.
func (r *reloader) logRejectedRoutes(err error) {
	for _, line := range faultLines(err) {
		r.logger.Error("routes_rejected", slog.String("err", line))
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
