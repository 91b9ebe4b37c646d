package service

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"

	"crankhold/internal/lang"
	"crankhold/internal/lang/syntax"
	"crankhold/internal/platform"
	"crankhold/internal/route"
	"crankhold/internal/router"
)

// CheckFile reads and checks a routes file and all that it includes; p may be nil. Includes can't leave the
// folder of the first file, by links either.
func CheckFile(name string, p *lang.Platform) (*lang.Result, error) {
	dir, file := filepath.Split(name)
	if dir == "" {
		dir = "."
	}
	root, err := os.OpenRoot(dir)
	if err != nil {
		return nil, err
	}
	defer root.Close()
	return lang.Check(root.FS(), file, filepath.ToSlash(filepath.Clean(dir)), p)
}

// readRoutes makes a table out of the routes file, or none where there is no file.
func readRoutes(name string, c *platform.Config) (*route.Table, error) {
	if name == "" {
		return nil, nil
	}
	r, err := CheckFile(name, c.Routing())
	if err != nil {
		return nil, err
	}
	for _, n := range r.Notes {
		slog.Warn("routes_note", "at", n.Pos.String(), "note", n.Msg)
	}
	if err := r.Err(); err != nil {
		return nil, err
	}
	return route.Compile(&r.Spec, c.ClassNames())
}

// swapRoutes puts a table in place of the one in force and logs what it changes. Calls that are open end under
// the old one; a file with faults leaves it in force.
func swapRoutes(core *router.Core, c *platform.Config, t *route.Table, wrong error) {
	old := core.Routes()
	if wrong != nil {
		for _, line := range faultLines(wrong) {
			slog.Error("routes_refused", "err", line)
		}
		return
	}
	if t == nil || old == nil {
		return // there is none, at a start and so now
	}
	changes := route.Diff(old, t, c.Once(), false)
	core.SetRoutes(t)
	slog.Info("routes_reloaded", "changes", len(changes), "routes", len(t.Routes()))
	for _, d := range changes {
		slog.Info("routes_changed", "of", d.Subject(), "before", d.Before, "after", d.After)
	}
}

// faultLines parts an error into its faults.
func faultLines(err error) []string {
	var list syntax.Faults
	if !errors.As(err, &list) {
		return []string{err.Error()}
	}
	return strings.Split(list.Error(), "\n")
}
