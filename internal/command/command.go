package command

import (
	"io"
	"os"

	"github.com/alecthomas/kong"

	"crankhold/internal/signals"
)

// Env is what a command uses of the system.
type Env struct {
	Out     io.Writer // standard output
	Err     io.Writer // standard error
	Getenv  func(string) string
	Signals *signals.Signals // caught since the process started; nil: none are caught yet
}

// ProcessEnv returns the process's own environment. It begins to catch signals.
func ProcessEnv() Env {
	return Env{Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv, Signals: signals.Notify()}
}

// commandLine is the grammar of the command line. The names of its fields, and of those of the commands without a
// name of their own, are the commands' and flags' names. Tags refer to texts in variables.
type commandLine struct {
	LogLevel string `help:"${log_level_help}" default:"${default_log_level}" env:"CRANKHOLD_LOG_LEVEL" name:"log-level"`

	Serve   serveCommand   `cmd:"" default:"1" help:"${serve_help}"`
	Check   checkCommand   `cmd:"" help:"${check_help}"`
	Fmt     formatCommand  `cmd:"" help:"${fmt_help}"`
	Diff    diffCommand    `cmd:"" help:"${diff_help}"`
	Explain explainCommand `cmd:"" help:"${explain_help}"`
	Demo    demoCommand    `cmd:"" help:"${demo_help}"`
	Version versionCommand `cmd:"" help:"${version_help}"`
}

// defaultLogLevel is the default of commandLine.LogLevel.
const defaultLogLevel = "info"

// kongExit is the panic by which kong ends a command line such as --help; Run recovers it. Its value is the exit
// status.
type kongExit int

// Run runs a command line and returns the exit status. It blocks until the command ends.
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
	return int(reportError(env.Err, run(args, env)))
}

// run parses a command line and runs its command.
func run(args []string, env Env) error {
	var cli commandLine
	parser, err := kong.New(&cli,
		kong.Name("crankhold"),
		kong.Description("A function router for small sites. docs/operate/ has a page for each task."),
		kong.Writers(env.Out, env.Err),
		kong.Exit(func(code int) { panic(kongExit(code)) }),
		kong.Bind(env),
		helpVariables,
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
	return command.Run(&cli)
}
