package command

import (
	"errors"
	"io/fs"
	"log/slog"
	"os"

	"crankhold/internal/config"
	"crankhold/internal/logging"
	"crankhold/internal/server"
)

// operatorFile is a file of the operators that is used where it exists, or that a variable names.
type operatorFile struct{ variable, defaultPath string }

// The operators' files.
var (
	webhookFile   = operatorFile{"CRANKHOLD_WEBHOOK", "deploy/webhook.toml"}
	exportFile    = operatorFile{"CRANKHOLD_IPFIX", "deploy/ipfix.toml"}
	addressesFile = operatorFile{"CRANKHOLD_ADDRESSES", "deploy/addresses.toml"}
	routesFile    = operatorFile{"CRANKHOLD_ROUTES", "deploy/routes.crank"}
)

// find returns the path of the file to read, or "" where there is no such file and the variable names none.
func (f operatorFile) find(env Env) string {
	if path := env.Getenv(f.variable); path != "" {
		return path
	}
	if _, err := os.Stat(f.defaultPath); errors.Is(err, fs.ErrNotExist) {
		return ""
	}
	return f.defaultPath
}

// serveCommand is the command serve.
type serveCommand struct{}

// Run serves until a signal ends it.
func (serveCommand) Run(cli *commandLine, env Env) error {
	level, err := logging.ParseLevel(cli.LogLevel)
	if err != nil {
		return inputError(err)
	}
	slog.SetDefault(logging.New(env.Err, level))
	readConfig := func() (*config.Config, error) { return config.Read(env.Getenv) }
	c, err := readConfig()
	if err != nil {
		return err
	}
	options := server.Options{
		Signals:   env.Signals,
		Webhook:   webhookFile.find(env),
		Export:    exportFile.find(env),
		Addresses: addressesFile.find(env),
		Routes:    env.Getenv(routesFile.variable),
	}
	if options.Routes == "" {
		options.Routes = routesFile.defaultPath // looked for at each reload: it may come and go while the program runs
		options.RoutesOptional = true
	}
	return server.Serve(c, options, readConfig)
}
