package command

import (
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"time"

	"crankhold/internal/config"
	"crankhold/internal/logging"
	"crankhold/internal/server"
	"crankhold/internal/signals"
)

// operatorFile is an optional file with settings of the operators. The environment variable may name it; otherwise the
// file at path is used, if there is one.
type operatorFile struct{ variable, path string }

// The operators' files that serve reads.
var (
	webhookFile   = operatorFile{"CRANKHOLD_WEBHOOK", "deploy/webhook.toml"}
	exportFile    = operatorFile{"CRANKHOLD_IPFIX", "deploy/ipfix.toml"}
	addressesFile = operatorFile{"CRANKHOLD_ADDRESSES", "deploy/addresses.toml"}
	routesFile    = operatorFile{"CRANKHOLD_ROUTES", "deploy/routes.crank"}
)

// find returns the path that the variable names, or else the default path f.path. It returns "" if the variable is
// empty and no file exists at the default path.
func (f operatorFile) find(env Env) string {
	if path := env.Getenv(f.variable); path != "" {
		return path
	}
	if _, err := os.Stat(f.path); errors.Is(err, fs.ErrNotExist) {
		return ""
	}
	return f.path
}

// logCloseTimeout is how long the program waits at its end for the reader of its log.
const logCloseTimeout = 50 * time.Millisecond

// serveCommand implements the command serve.
type serveCommand struct{}

// Run serves requests until a signal stops the server.
func (serveCommand) Run(cli *commandLine, env Env) error {
	level, err := logging.ParseLevel(cli.LogLevel)
	if err != nil {
		return inputError(err)
	}
	signals.IgnoreBrokenPipe()
	log := logging.NewBufferedWriter(env.Err)
	defer log.Close(logCloseTimeout)
	slog.SetDefault(logging.New(log, level))
	readConfig := func() (*config.Config, error) { return config.Read(env.Getenv) }
	c, err := readConfig()
	if err != nil {
		return err
	}
	options := server.Options{
		Signals:       env.Signals,
		WebhookFile:   webhookFile.find(env),
		ExportFile:    exportFile.find(env),
		AddressesFile: addressesFile.find(env),
		RoutesFile:    env.Getenv(routesFile.variable),
	}
	if options.RoutesFile == "" {
		// Unlike the other files, this one is looked for at each reload too, because it may be created or removed while
		// the program runs.
		options.RoutesFile = routesFile.path
		options.RoutesOptional = true
	}
	return server.Serve(c, options, readConfig)
}
