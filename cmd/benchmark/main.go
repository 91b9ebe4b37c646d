// Command benchmark measures the router against fakes on loopback. Each experiment is a sub-command.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"crankhold/internal/benchmark"
)

// commandLine has a sub-command for each experiment.
type commandLine struct {
	Addresses benchmark.Addresses `cmd:"" help:"${addresses_help}"`
	Core      benchmark.Core      `cmd:"" help:"What a request costs the core and the module, by fleet size."`
	Load      benchmark.Load      `cmd:"" help:"${load_help}"`
	Starts    benchmark.Starts    `cmd:"" help:"${starts_help}"`
	Hostile   benchmark.Hostile   `cmd:"" help:"${hostile_help}"`
	Config    benchmark.Config    `cmd:"" help:"${config_help}"`
}

// helpTexts are the help texts that are too long for a tag.
var helpTexts = kong.Vars{
	"addresses_help": "Workers with several addresses, which fail at random: " +
		"share served, requests that ran twice, late sends, cost.",
	"load_help": "An open-loop load by Thrift or signed webhooks, corrected for coordinated omission; " +
		"with --knee, the highest rate that a router keeps up with.",
	"starts_help":  "Many routers started at once while discovery is down: how long until they are ready.",
	"hostile_help": "Clients that send without a pause: what usual clients get beside them, and the router's memory.",
	"config_help": "The routes language and its routing: cost, " +
		"and a load with a reload each second and the death of a pool.",
}

func main() {
	var cli commandLine
	command := kong.Parse(&cli,
		kong.Name("benchmark"),
		kong.Description("Measures the router on this machine's loopback."),
		helpTexts,
		kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "benchmark:", err)
		os.Exit(1)
	}
}
