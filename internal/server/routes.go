package server

import (
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"

	"crankhold/internal/lang"
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
	r.logNotes(result.Notes)
	if err := result.Err(); err != nil {
		return nil, err
	}
	return result.Compile(r.config.ClassNames())
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
	r.current = table
	r.logEnabledRoutes(table)
}

func (r *reloader) logEnabledRoutes(table *route.Table) {
	r.logger.Info("routes_enabled",
		slog.Int("routes", len(table.Routes())),
		slog.Int("pools", len(table.Pools())))
}

// prepareRoutes reads the routes file again and compares its routes with the current ones. It returns a nil table if
// the current routes stay in force, which it logs: if the file has faults, and if it no longer exists, because
// disabling routes requires a restart. It blocks.
func (r *reloader) prepareRoutes(stages *stageTimes) (*route.Table, route.Comparison) {
	var comparison route.Comparison
	table, err := r.readRoutes()
	stages.routes = stages.sinceLast()
	switch {
	case err != nil:
		r.logRejectedRoutes(err)
		return nil, comparison
	case table == nil && r.current != nil:
		r.logger.Error("routes_rejected", slog.String("err", "the file no longer exists; its routes stay in force"))
	case table != nil && r.current != nil:
		comparison = route.DiffWithinLimit(r.current, table, r.config.NotIdempotent(), false)
		stages.compare = stages.sinceLast()
	}
	return table, comparison
}
