package ipfix

import (
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"

	"github.com/BurntSushi/toml"
)

// Config is the content of an export file.
type Config struct {
	Enabled   bool   `toml:"enabled"`
	Collector string `toml:"collector"` // ip:port; checked only if Enabled is set
	Domain    uint32 `toml:"observation_domain"`
}

// unknownSettingError is the cause of a ConfigError for a key that is no setting of an export file. Its value is the
// key.
type unknownSettingError string

func (e unknownSettingError) Error() string { return "unknown setting " + string(e) }

// ConfigError reports why an export file can't be read or used.
type ConfigError struct {
	File string
	Key  string // the setting; "" if the file can't be read or decoded
	Err  error
}

// Error names the file and the cause.
func (e *ConfigError) Error() string {
	var unreadable *fs.PathError
	if errors.As(e.Err, &unreadable) {
		return "export file: " + e.Err.Error() // an error of the operating system contains the path
	}
	return fmt.Sprintf("export file %s: %v", e.File, e.Err)
}

// Unwrap returns the cause.
func (e *ConfigError) Unwrap() error { return e.Err }

// ReadConfig reads and checks an export file. Its error is a ConfigError. It blocks and must not be called on the event
// loop.
func ReadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &ConfigError{File: path, Err: err}
	}
	config := &Config{}
	meta, err := toml.Decode(string(text), config)
	if err != nil {
		return nil, &ConfigError{File: path, Err: err}
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		key := unknown[0].String()
		return nil, &ConfigError{File: path, Key: key, Err: unknownSettingError(key)}
	}
	if !config.Enabled {
		return config, nil
	}
	if _, err := netip.ParseAddrPort(config.Collector); err != nil {
		return nil, &ConfigError{File: path, Key: "collector", Err: err}
	}
	return config, nil
}
