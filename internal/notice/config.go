package notice

import (
	"errors"
	"fmt"
	"net/url"
	"time"
)

// Config configures the sender of notices.
type Config struct {
	Enabled bool   `toml:"enabled"`
	URL     string `toml:"url"`
	// Connect is the address to connect to, where it is not the URL's host.
	Connect string `toml:"connect"`
	Key     string `toml:"key"`
	// Queue is how many notices may wait to be delivered.
	Queue int `toml:"queue"`
	// Attempts is how often the delivery of a notice is attempted.
	Attempts int           `toml:"attempts"`
	Backoff  time.Duration `toml:"backoff"`
	// Timeout is how long an attempt may take.
	Timeout time.Duration `toml:"timeout"`
}

// The limits and defaults of settings.
const (
	maxQueue     = 1 << 16
	maxAttempts  = 20
	defaultQueue = 256
)

// DefaultConfig returns what holds for settings that the webhook file leaves out.
func DefaultConfig() Config {
	return Config{
		Queue:    defaultQueue,
		Attempts: 6,
		Backoff:  time.Second,
		Timeout:  10 * time.Second,
	}
}

// Check checks the settings of a sender that is enabled. Its errors are ConfigErrors.
func (c *Config) Check() error {
	target, err := url.Parse(c.URL)
	switch {
	case err != nil:
		return &ConfigError{Setting: "sender.url", Err: fmt.Errorf("sender.url: %w", err)}
	case target.Scheme != "http" || target.Host == "" || target.User != nil:
		return newConfigError("sender.url", "sender.url must be http://HOST/PATH; TLS is a local proxy's work")
	case c.Key == "":
		return newConfigError("sender.key", "sender.key is missing")
	case !c.isInRange():
		return newConfigError("sender", "sender: queue, attempts, backoff or timeout is out of range")
	}
	return nil
}

// isInRange reports whether the numbers of the sender can be used.
func (c *Config) isInRange() bool {
	return c.Queue >= 1 && c.Queue <= maxQueue &&
		c.Attempts >= 1 && c.Attempts <= maxAttempts &&
		c.Backoff > 0 && c.Timeout > 0
}

// ConfigError is a setting of the sender that can't be used.
type ConfigError struct {
	Setting string // as sender.url
	Err     error  // what is wrong, with the setting's name
}

// Error says what is wrong.
func (e *ConfigError) Error() string { return e.Err.Error() }

// Unwrap returns what is wrong.
func (e *ConfigError) Unwrap() error { return e.Err }

func newConfigError(setting, text string) *ConfigError {
	return &ConfigError{Setting: setting, Err: errors.New(text)}
}
