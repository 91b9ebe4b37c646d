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
	"crankhold/internal/router"
)

// CheckRoutesFile reads and checks a routes file and all that it includes; p may be nil. Includes can't leave the
// folder of the first file, by links either.
func CheckRoutesFile(name string, p *lang.Platform) (*lang.Result, error) {
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
func readRoutes(opts Options, c *config.Config) (*route.Table, error) {
	if opts.Routes == "" {
		return nil, nil
	}
	r, err := CheckRoutesFile(opts.Routes, c.RoutingPlatform())
	if opts.RoutesOptional && errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	for _, n := range r.Notes {
		slog.Warn("routes_warned", "at", n.Pos.String(), "note", n.Msg)
	}
	if err := r.Err(); err != nil {
		return nil, err
	}
	return route.Compile(&r.Spec, c.ClassNames())
}

// swapRoutes puts a table in place of the one in force and logs what it changes. Calls that are open end under
// the old one; a file with faults leaves it in force.
func swapRoutes(core *router.Core, c *config.Config, t *route.Table, wrong error) {
	old := core.Routes()
	if wrong != nil {
		for _, line := range faultLines(wrong) {
			slog.Error("routes_rejected", "err", line)
		}
		return
	}
	switch {
	case t == nil && old != nil: // whoever wants none in force says so by a restart
		slog.Error("routes_rejected", "err", "the file is gone; the routes that it held stay in force")
		return
	case t == nil:
		return
	case old == nil:
		putInForce(core, t)
		return
	}
	changes := route.Diff(old, t, c.NotIdempotent(), false)
	core.SetRoutes(t)
	slog.Info("routes_reloaded", "changes", len(changes), "routes", len(t.Routes()))
	for _, d := range changes {
		slog.Info("route_changed", "of", d.Subject(), "before", d.Before, "after", d.After)
	}
}

// putInForce has calls go by a first table.
func putInForce(core *router.Core, t *route.Table) {
	core.SetRoutes(t)
	slog.Info("routes_enabled", "routes", len(t.Routes()), "pools", len(t.Pools()))
}

// faultLines parts an error into its faults.
func faultLines(err error) []string {
	var list syntax.Faults
	if !errors.As(err, &list) {
		return []string{err.Error()}
	}
	return strings.Split(list.Error(), "\n")
}
