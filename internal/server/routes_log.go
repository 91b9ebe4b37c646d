package server

import (
	"errors"
	"log/slog"
	"strings"

	"crankhold/internal/lang/syntax"
	"crankhold/internal/route"
)

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
