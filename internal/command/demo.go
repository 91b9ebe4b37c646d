package command

import (
	"log/slog"
	"time"

	"crankhold/internal/demo"
	"crankhold/internal/logging"
)

// demoLogLevel is the lowest level of the demo's log lines, unless another one than the default is asked for.
const demoLogLevel = "warn"

// demoCommand is the command demo.
type demoCommand struct {
	For time.Duration `help:"Stop after this time; 0 goes on until interrupted." default:"0s"`
}

// Run shows the demo.
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
