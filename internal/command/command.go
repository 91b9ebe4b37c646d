// Package command is the program's command line. It parses arguments, calls the packages that do the work, and
// prints; exit statuses are 0 for good, 1 for a finding (faults, differences, a refused call, a service that
// could not go on) and 2 for what could not be understood or read at all. Only cmd/crankhold calls it.
package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"crankhold/internal/config"
	"crankhold/internal/logging"
	"crankhold/internal/server"
	"crankhold/internal/signals"
)

// Exit statuses.
const (
	exitSuccess = 0
	exitFinding = 1
	exitUsage   = 2
)

// Env is what a command reaches of the system.
type Env struct {
	Out, Err io.Writer
	Getenv   func(string) string
	Signals  *signals.Signals // from the program's first moment on; nil: none are caught yet
}

// System returns the process's own.
func System() Env { return Env{os.Stdout, os.Stderr, os.Getenv, signals.Notify()} }

// commandLine is the command line.
type commandLine struct {
	LogLevel string `help:"Lowest level of log lines: debug, info, warn or error." default:"info" env:"CRANKHOLD_LOG_LEVEL" name:"log-level"`

	Serve   serveCommand   `cmd:"" default:"1" help:"Serve calls. The platform's JSON configuration is the file that EDGE_CONFIG names. This is what the program does without arguments."`
	Check   checkCommand   `cmd:"" help:"Check routes files and say all that is wrong with them. Exits with 1 where something is."`
	Fmt     formatCommand  `cmd:"" help:"Print routes files in their one form. With --check, exits with 1 where a file is not in it."`
	Diff    diffCommand    `cmd:"" help:"Say what a routes file changes in behaviour against another. Exits with 1 where something changes."`
	Explain explainCommand `cmd:"" help:"Say which route, pool and policy a call meets, and the lines that say so. Exits with 1 where it is refused."`
	Demo    demoCommand    `cmd:"" help:"Serve a directory, three stand-in workers, a router and a trickle of calls in one process, and show what happens until it is interrupted."`
	Version versionCommand `cmd:"" help:"Print the program's version."`
}

// exitError is an error that carries an exit exitError; its text, where it has one, goes to standard error.
type exitError struct {
	status int
	text   string
}

func (s *exitError) Error() string { return s.text }

// kongExit is how kong's wish to end the program, after help, gets out of it.
type kongExit int

// Run carries out a command line and returns the exit status.
func Run(args []string, env Env) (code int) {
	defer func() {
		switch x := recover().(type) {
		case nil:
		case kongExit:
			code = int(x)
		default:
			panic(x)
		}
	}()
	var c commandLine
	parser, err := kong.New(&c, kong.Name("crankhold"), kong.Writers(env.Out, env.Err), kong.Exit(func(code int) { panic(kongExit(code)) }),
		kong.Description("A function router for small sites. docs/operate/ has a page for each task."), kong.Bind(env),
		kong.UsageOnError())
	if err != nil {
		fmt.Fprintf(env.Err, "crankhold: %v\n", err)
		return exitUsage
	}
	k, err := parser.Parse(args)
	if env.Signals != nil && (err != nil || k.Command() != "serve") {
		env.Signals.Release() // only a service answers them
	}
	if err != nil {
		fmt.Fprintf(env.Err, "crankhold: %v\n", err)
		return exitUsage
	}
	if err := k.Run(&c); err != nil {
		s := (*exitError)(nil)
		if !errors.As(err, &s) {
			s = &exitError{exitFinding, "crankhold: " + err.Error()}
		}
		if s.text != "" {
			fmt.Fprintln(env.Err, s.text)
		}
		return s.status
	}
	return exitSuccess
}

// unreadable is the status of what could not be read at all.
func unreadable(err error) error { return &exitError{exitUsage, "crankhold: " + err.Error()} }

// printJSON writes a value for a program to read.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// The operators' files, and the variables that name others.
var operatorFiles = []struct{ variable, file string }{
	{"CRANKHOLD_WEBHOOK", "deploy/webhook.toml"},
	{"CRANKHOLD_IPFIX", "deploy/ipfix.toml"},
	{"CRANKHOLD_ADDRESSES", "deploy/addresses.toml"},
}

// Routes may come and go while the program runs, so their file is looked for each time.
const routesVariable, routesFile = "CRANKHOLD_ROUTES", "deploy/routes.crank"

// configuredFile returns the file to read, or none where there is no such file and none was asked for.
func configuredFile(env Env, i int) string {
	if path := env.Getenv(operatorFiles[i].variable); path != "" {
		return path
	}
	if _, err := os.Stat(operatorFiles[i].file); errors.Is(err, fs.ErrNotExist) {
		return ""
	}
	return operatorFiles[i].file
}

type serveCommand struct{}

// Run serves until a signal ends it.
func (serveCommand) Run(c *commandLine, env Env) error {
	level, err := logging.ParseLevel(c.LogLevel)
	if err != nil {
		return unreadable(err)
	}
	slog.SetDefault(logging.New(env.Err, level))
	read := func() (*config.Config, error) { return config.Read(env.Getenv) }
	p, err := read()
	if err != nil {
		return err
	}
	opts := server.Options{Signals: env.Signals, Webhook: configuredFile(env, 0), Export: configuredFile(env, 1), Addresses: configuredFile(env, 2), Routes: env.Getenv(routesVariable)}
	if opts.RoutesOptional = opts.Routes == ""; opts.RoutesOptional {
		opts.Routes = routesFile
	}
	return server.Serve(p, opts, read)
}

type versionCommand struct {
	JSON bool `help:"Print JSON." name:"json"`
}

// Run prints what was built, and of what.
func (v versionCommand) Run(env Env) error {
	info := struct {
		Version  string `json:"version"`
		Revision string `json:"revision,omitempty"`
		Go       string `json:"go"`
		Platform string `json:"platform"`
	}{"unreleased", "", runtime.Version(), runtime.GOOS + "/" + runtime.GOARCH}
	if b, ok := debug.ReadBuildInfo(); ok {
		for _, s := range b.Settings {
			if s.Key == "vcs.revision" {
				info.Revision = s.Value
			}
		}
	}
	if v.JSON {
		return printJSON(env.Out, info)
	}
	text := "crankhold " + info.Version
	if info.Revision != "" {
		text += " " + info.Revision
	}
	_, err := fmt.Fprintln(env.Out, text, info.Go, info.Platform)
	return err
}
