// Command benchmark measures the router against fakes on loopback. Each experiment is a sub-command.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"crankhold/internal/benchmark"
)

func main() {
	var cli struct {
		Addresses benchmark.Addresses `cmd:"" help:"Workers with several addresses, which fail at random: service, doubled orders, late sends, cost."`
		Core      benchmark.Core      `cmd:"" help:"What a call costs the core and the module, by the size of the fleet."`
		Load      benchmark.Load      `cmd:"" help:"An open-loop load by Thrift or signed webhooks, corrected for coordinated omission; with --knee, where a router no longer keeps up."`
		Starts    benchmark.Starts    `cmd:"" help:"Many routers started at once while the directory is down: how long until they are ready."`
		Config    benchmark.Config    `cmd:"" help:"The configuration language and its routing: cost, and a load with a reload each second and the death of a pool."`
	}
	k := kong.Parse(&cli, kong.Name("benchmark"), kong.Description("Measures the router on this machine's loopback."), kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "benchmark:", err)
		os.Exit(1)
	}
}
