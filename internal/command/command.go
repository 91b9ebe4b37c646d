package command

import (
	"io"
	"os"

	"github.com/alecthomas/kong"

	"crankhold/internal/signals"
)

// Env is what a command reaches of the system.
type Env struct {
	Out, Err io.Writer
	Getenv   func(string) string
	Signals  *signals.Signals // from the program's first moment on; nil: none are caught yet
}

// System returns the process's own environment.
func System() Env { return Env{os.Stdout, os.Stderr, os.Getenv, signals.Notify()} }

// commandLine is the grammar of the command line. The names of its fields, and of those of the commands without a
// name of their own, are the commands' and flags' names.
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

// defaultLogLevel is the default of commandLine.LogLevel.
const defaultLogLevel = "info"

// kongExit is the panic by which kong's wish to end the program, after --help, reaches Run.
type kongExit int

// Run carries out a command line and returns the exit status.
func Run(args []string, env Env) (status int) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case kongExit:
			status = int(r)
		default:
			panic(r)
		}
	}()
	return int(report(env.Err, run(args, env)))
}

// run parses a command line and runs its command.
func run(args []string, env Env) error {
	var line commandLine
	parser, err := kong.New(&line,
		kong.Name("crankhold"),
		kong.Description("A function router for small sites. docs/operate/ has a page for each task."),
		kong.Writers(env.Out, env.Err),
		kong.Exit(func(code int) { panic(kongExit(code)) }),
		kong.Bind(env),
		kong.UsageOnError())
	if err != nil {
		return &exitError{exitUsage, err}
	}
	command, err := parser.Parse(args)
	if env.Signals != nil && (err != nil || command.Command() != "serve") {
		env.Signals.Release() // only a service handles them
	}
	if err != nil {
		return &exitError{exitUsage, err}
	}
	return command.Run(&line)
}
