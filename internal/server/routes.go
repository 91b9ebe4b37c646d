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

// Limits on what one reload logs, whose length would otherwise grow with the routes file.
const (
	maxLoggedChanges = 100
	maxLoggedFaults  = 200
	maxLoggedText    = 2048 // bytes of one attribute
)

// logReplacedRoutes logs that a table has replaced the current one, and what has changed.
func (r *reloader) logReplacedRoutes(table *route.Table, comparison route.Comparison) {
	if r.current == nil {
		r.logEnabledRoutes(table)
		return
	}
	changes := comparison.Changes
	r.logger.Info("routes_reloaded",
		slog.Int("changes", len(changes)),
		slog.Int("routes", len(table.Routes())))
	for _, change := range changes[:min(len(changes), maxLoggedChanges)] {
		r.logger.Info("route_changed",
			slog.String("of", change.SubjectWithin(maxLoggedText)),
			slog.String("before", clipText(change.Before)),
			slog.String("after", clipText(change.After)))
	}
	if len(changes) > maxLoggedChanges || !comparison.Complete {
		r.logger.Warn("route_changes_omitted",
			slog.Int("count", max(len(changes)-maxLoggedChanges, 0)),
			slog.Bool("compared_all", comparison.Complete))
	}
}

// clipText cuts a text to what one attribute of the log may have.
func clipText(text string) string {
	if len(text) <= maxLoggedText {
		return text
	}
	return strings.ToValidUTF8(text[:maxLoggedText], "") + "..."
}

// logNotes logs the checker's notes on a routes file.
func (r *reloader) logNotes(notes syntax.Faults) {
	for _, note := range notes[:min(len(notes), maxLoggedFaults)] {
		r.logger.Warn("routes_warned", slog.String("at", note.Pos.String()), slog.String("note", clipText(note.Msg)))
	}
	r.logOmittedFaults(len(notes))
}

// logRejectedRoutes logs each fault of an invalid routes file.
func (r *reloader) logRejectedRoutes(err error) {
	lines := faultLines(err)
	for _, line := range lines[:min(len(lines), maxLoggedFaults)] {
		r.logger.Error("routes_rejected", slog.String("err", clipText(line)))
	}
	r.logOmittedFaults(len(lines))
}

// logOmittedFaults logs how many of the faults or notes of a file are not logged, if there are any.
func (r *reloader) logOmittedFaults(count int) {
	if count > maxLoggedFaults {
		r.logger.Warn("routes_faults_omitted", slog.Int("count", count-maxLoggedFaults))
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
