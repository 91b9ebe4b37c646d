package command

import (
	"log/slog"
	"time"

	"crankhold/internal/demo"
	"crankhold/internal/logging"
)

type demoCommand struct {
	For time.Duration `help:"Stop after this time; 0 goes on until interrupted." default:"0s"`
}

// Run shows the demo. Log lines are shown from warnings on, unless a level is asked for.
func (d demoCommand) Run(c *commandLine, env Env) error {
	level := c.LogLevel
	if level == "info" {
		level = "warn"
	}
	l, err := logging.ParseLevel(level)
	if err != nil {
		return unreadable(err)
	}
	slog.SetDefault(logging.New(env.Err, l))
	stop := make(chan struct{})
	if d.For > 0 {
		time.AfterFunc(d.For, func() { close(stop) })
	}
	return demo.Run(env.Out, stop)
}
