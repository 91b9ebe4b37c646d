package ipfix

import (
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"

	"github.com/BurntSushi/toml"
)

// Config is the export file.
type Config struct {
	Enabled   bool   `toml:"enabled"`
	Collector string `toml:"collector"`
	Domain    uint32 `toml:"observation_domain"`
}

// ConfigError is an export file that can't be read or used.
type ConfigError struct {
	File string
	Key  string // the setting; "" where the file as a whole can't be read
	Err  error
}

// Error names the file.
func (e *ConfigError) Error() string {
	var unreadable *fs.PathError
	if errors.As(e.Err, &unreadable) {
		return "export file: " + e.Err.Error() // the system's error names the file
	}
	return fmt.Sprintf("export file %s: %v", e.File, e.Err)
}

// Unwrap returns what is wrong.
func (e *ConfigError) Unwrap() error { return e.Err }

// ReadConfig reads and checks an export file. Its errors are ConfigErrors.
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
		return nil, &ConfigError{File: path, Key: key, Err: errors.New("unknown setting " + key)}
	}
	if !config.Enabled {
		return config, nil
	}
	if _, err := netip.ParseAddrPort(config.Collector); err != nil {
		return nil, &ConfigError{File: path, Key: "collector", Err: err}
	}
	return config, nil
}
