package command

import (
	"os"
	"path/filepath"
	"strings"

	"crankhold/internal/config"
	"crankhold/internal/lang"
	"crankhold/internal/server"
)

// platformFlag is the flag --platform. With it, routes files are checked against the platform's settings too.
type platformFlag struct {
	Platform string `help:"${platform_help}" placeholder:"CONFIG.json"`
}

// readPlatform reads the settings from the file that the flag names. It returns nil if the flag is not given.
func (f platformFlag) readPlatform() (*lang.Platform, error) {
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
		return nil, inputError(err)
	}
	return c.RoutingPlatform(), nil
}

// checkRoutes checks a routes file and returns its faults and notes in the result. It returns an error only if the
// routes file can't be read or the platform's configuration can't be used.
func (f platformFlag) checkRoutes(file string) (*lang.Result, error) {
	platform, err := f.readPlatform()
	if err != nil {
		return nil, err
	}
	r, err := server.CheckRoutesFile(file, platform)
	if err != nil {
		return nil, inputError(err)
	}
	return r, nil
}

// loadRoutes checks a routes file for a command that needs one without faults. If there are faults, it prints them and
// returns an error.
func (f platformFlag) loadRoutes(file string, env Env) (*lang.Result, error) {
	r, err := f.checkRoutes(file)
	if err != nil {
		return nil, err
	}
	if len(r.Faults) > 0 {
		printFaults(env.Err, r.Faults)
		return nil, usageError("%s has %s", file, plural(len(r.Faults), "fault"))
	}
	return r, nil
}

// displayPath returns a path in the form that messages show: relative to the working directory if the file is below it.
func displayPath(path string) string {
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
