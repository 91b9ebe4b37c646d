package command

import (
	"os"
	"path/filepath"
	"strings"

	"crankhold/internal/config"
	"crankhold/internal/lang"
	"crankhold/internal/server"
)

// platformFlag is the flag by which routes files are checked against the platform's settings too.
type platformFlag struct {
	Platform string `help:"${platform_help}" placeholder:"CONFIG.json"`
}

// read reads the settings that the flag names. It returns nil where the flag is not given.
func (f platformFlag) read() (*lang.Platform, error) {
	if f.Platform == "" {
		return nil, nil
	}
	c, err := config.Read(func(variable string) string {
		if variable == "EDGE_CONFIG" {
			return f.Platform
		}
		return ""
	})
	if err != nil {
		return nil, unreadable(err)
	}
	return c.RoutingPlatform(), nil
}

// check checks a routes file. The error is of a file that can't be read at all.
func (f platformFlag) check(file string) (*lang.Result, error) {
	platform, err := f.read()
	if err != nil {
		return nil, err
	}
	r, err := server.CheckRoutesFile(file, platform)
	if err != nil {
		return nil, unreadable(err)
	}
	return r, nil
}

// loadRoutes checks a routes file that a command can only use without faults. If there are any, it prints them and
// returns an error.
func (f platformFlag) loadRoutes(file string, env Env) (*lang.Result, error) {
	r, err := f.check(file)
	if err != nil {
		return nil, err
	}
	if len(r.Faults) > 0 {
		printFaults(env.Err, r.Faults)
		return nil, usageError("%s has %s", file, plural(len(r.Faults), "fault"))
	}
	return r, nil
}

// shownPath returns a path as messages show it: relative to the working directory, if it is below that.
func shownPath(path string) string {
	workingDirectory, err := os.Getwd()
	if err != nil {
		return path
	}
	relative, err := filepath.Rel(workingDirectory, path)
	if err != nil || strings.HasPrefix(relative, "..") {
		return path
	}
	return relative
}
