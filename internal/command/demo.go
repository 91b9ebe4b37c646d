package command

import (
	"log/slog"
	"time"

	"crankhold/internal/demo"
	"crankhold/internal/logging"
)

// demoLogLevel is the lowest level that the demo logs if --log-level has its default value.
const demoLogLevel = "warn"

// demoCommand implements the command demo.
type demoCommand struct {
	For time.Duration `help:"Stop after this time; 0 goes on until interrupted." default:"0s"`
}

// Run runs the demo until the time limit has passed or a signal stops it.
func (d demoCommand) Run(cli *commandLine, env Env) error {
	levelName := cli.LogLevel
	if levelName == defaultLogLevel {
		levelName = demoLogLevel
	}
	level, err := logging.ParseLevel(levelName)
	if err != nil {
		return inputError(err)
	}
	slog.SetDefault(logging.New(env.Err, level))
	stop := make(chan struct{})
	if d.For > 0 {
		time.AfterFunc(d.For, func() { close(stop) })
	}
	return demo.Run(env.Out, stop)
}
