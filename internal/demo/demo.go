package demo

import (
	_ "embed"
	"fmt"
	"io"
	"strings"
	"time"

	"crankhold/internal/config"
	"crankhold/internal/fake"
	"crankhold/internal/server"
)

// Routes is the routes file of the demo's router.
//
//go:embed routes.crank
var Routes []byte

// Run runs the demo and writes one line per second to out. It blocks until stop is closed or a signal arrives.
func Run(out io.Writer, stop <-chan struct{}) error {
	counts := newCounts()
	bed, err := fake.StartTestbed(fake.TestbedConfig{
		Prefix:  "crankhold-demo-",
		Workers: workerConfigs(),
		Record:  counts.event,
	})
	if err != nil {
		return err
	}
	defer bed.Close()
	listen, configPath, err := bed.WriteConfig("config.json")
	if err != nil {
		return err
	}
	routes, err := bed.WriteFile("routes.crank", Routes)
	if err != nil {
		return err
	}
	read := func() (*config.Config, error) { return readConfig(configPath) }
	cfg, err := read()
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "router on %s; workers %s; routes in %s\n", listen, describe(bed.Site.Workers), routes)

	stopDriver := newDriver(out, bed.Site, listen, counts).start()
	defer stopDriver()
	return server.Serve(cfg, server.Options{RoutesFile: routes, Stop: stop}, read)
}

// workerConfigs returns the configurations of the demo's workers. The first two are large, and each worker is slower
// than the one before it.
func workerConfigs() []fake.WorkerConfig {
	kinds := []string{"large-worker", "large-worker", "small-worker"}
	list := make([]fake.WorkerConfig, len(kinds))
	for i, kind := range kinds {
		list[i] = fake.WorkerConfig{
			Name:        fmt.Sprintf("s-%d", i+1),
			Addr:        "127.0.0.1:0",
			Kind:        kind,
			Zone:        "here",
			Cell:        i,
			ServiceTime: time.Duration(60+30*i) * time.Millisecond,
			LoadTime:    600 * time.Millisecond,
			KeepAlive:   10 * time.Second,
			Lanes:       2,
			Queue:       32,
		}
	}
	return list
}

// readConfig reads the configuration from a path and ignores the environment.
func readConfig(path string) (*config.Config, error) {
	return config.Read(func(name string) string {
		if name == "EDGE_CONFIG" {
			return path
		}
		return ""
	})
}

// describe lists the workers with their kinds.
func describe(workers []*fake.Worker) string {
	names := make([]string, len(workers))
	for i, w := range workers {
		names[i] = w.Name + " (" + w.Kind + ")"
	}
	return strings.Join(names, ", ")
}
