package command

import (
	"io"
	"os"

	"github.com/alecthomas/kong"

	"crankhold/internal/signals"
)

// Env holds what a command uses of the process's environment.
type Env struct {
	Out     io.Writer // standard output
	Err     io.Writer // standard error
	Getenv  func(string) string
	Signals *signals.Signals // signals caught since the process started; nil if the process does not catch them yet
}

// ProcessEnv returns the environment of the current process, and starts to catch signals.
func ProcessEnv() Env {
	return Env{Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv, Signals: signals.Notify()}
}

// commandLine defines the command line for kong. Commands and flags take their names from the fields of this struct and
// of the command structs, unless a tag sets a name. Tags refer to entries of helpVariables as ${name}.
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

// defaultLogLevel is the default value of the flag --log-level.
const defaultLogLevel = "info"

// kongExit is the exit status that kong passes to its exit function, for example after it has printed the text of
// --help. kong expects that function not to return. The function therefore panics with a kongExit, which Run recovers
// and returns as the status.
type kongExit int

// Run runs a command line and returns the exit status. It blocks until the command completes.
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

// run parses a command line and runs the command that it names.
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
		env.Signals.Release() // only the command serve handles the signals caught so far
	}
	if err != nil {
		return &exitError{exitUsage, err}
	}
	return command.Run(&cli)
}
