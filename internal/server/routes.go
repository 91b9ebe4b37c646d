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

// CheckRoutesFile reads and checks a routes file and all files that it includes. platform may be nil. Included files
// must be within the folder of the first file; symbolic links can't lead out of it either.
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

// readRoutes reads and compiles the routes file, and logs the checker's notes. It returns a nil table if there is no
// routes file. It blocks while it reads.
func (r *reloader) readRoutes() (*route.Table, error) {
	if r.options.RoutesFile == "" {
		return nil, nil
	}
	result, err := CheckRoutesFile(r.options.RoutesFile, r.config.RoutingPlatform())
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

// loadInitialRoutes reads the routes file at the start and puts its routes in force.
func (r *reloader) loadInitialRoutes() error {
	table, err := r.readRoutes()
	if err != nil || table == nil {
		return err
	}
	r.installInitialRoutes(table)
	r.membership.publish()
	return nil
}

// installInitialRoutes puts a table in force when there was none before.
func (r *reloader) installInitialRoutes(table *route.Table) {
	r.core.SetRoutes(table)
	r.logger.Info("routes_enabled",
		slog.Int("routes", len(table.Routes())),
		slog.Int("pools", len(table.Pools())))
}

// replaceRoutes puts the table of a reload in force and logs the differences. Open requests complete under the old
// table. If the routes file no longer exists, newTable is nil and the current routes stay in force: disabling routes
// requires a restart.
func (r *reloader) replaceRoutes(newTable *route.Table) {
	current := r.core.Routes()
	switch {
	case newTable == nil && current == nil:
	case newTable == nil:
		r.logger.Error("routes_rejected", slog.String("err", "the file no longer exists; its routes stay in force"))
	case current == nil:
		r.installInitialRoutes(newTable)
	default:
		r.changeRoutes(current, newTable)
	}
}

// changeRoutes replaces the current table by a new one, and logs the differences.
func (r *reloader) changeRoutes(current, newTable *route.Table) {
	changes := route.Diff(current, newTable, r.config.NotIdempotent(), false)
	r.core.SetRoutes(newTable)
	r.logger.Info("routes_reloaded",
		slog.Int("changes", len(changes)),
		slog.Int("routes", len(newTable.Routes())))
	for _, change := range changes {
		r.logger.Info("route_changed",
			slog.String("of", change.Subject()),
			slog.String("before", change.Before),
			slog.String("after", change.After))
	}
}

// logRejectedRoutes logs each fault of an invalid routes file.
func (r *reloader) logRejectedRoutes(err error) {
	for _, line := range faultLines(err) {
		r.logger.Error("routes_rejected", slog.String("err", line))
	}
}

// faultLines returns the text of each fault in an error, or the error's text if it holds no faults.
func faultLines(err error) []string {
	var faults syntax.Faults
	if !errors.As(err, &faults) {
		return []string{err.Error()}
	}
	return strings.Split(faults.Error(), "\n")
}
