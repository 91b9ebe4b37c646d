package notice

import (
	"errors"
	"fmt"
	"net/url"
	"time"
)

// Config configures the notice sender.
type Config struct {
	Enabled bool   `toml:"enabled"`
	URL     string `toml:"url"`
	// Connect is the address to connect to. If it is empty, the URL's host is used.
	Connect string `toml:"connect"`
	Key     string `toml:"key"`
	// Queue limits how many notices may be queued or being delivered.
	Queue int `toml:"queue"`
	// Attempts is the maximum number of attempts to deliver a notice.
	Attempts int           `toml:"attempts"`
	Backoff  time.Duration `toml:"backoff"`
	// Timeout limits the duration of an attempt.
	Timeout time.Duration `toml:"timeout"`
}

// The limits and defaults of settings.
const (
	maxQueue     = 1 << 16
	maxAttempts  = 20
	defaultQueue = 256
)

// DefaultConfig returns the defaults of the settings.
func DefaultConfig() Config {
	return Config{
		Queue:    defaultQueue,
		Attempts: 6,
		Backoff:  time.Second,
		Timeout:  10 * time.Second,
	}
}

// Check checks the settings of a sender that is enabled. Its errors are of type *ConfigError.
func (c *Config) Check() error {
	target, err := url.Parse(c.URL)
	switch {
	case err != nil:
		return &ConfigError{Setting: "sender.url", Err: fmt.Errorf("sender.url: %w", err)}
	case target.Scheme != "http" || target.Host == "" || target.User != nil:
		return newConfigError("sender.url", "sender.url must be http://HOST/PATH; for TLS, use a local proxy")
	case c.Key == "":
		return newConfigError("sender.key", "sender.key is missing")
	case !c.isInRange():
		return newConfigError("sender", "sender: queue, attempts, backoff or timeout is out of range")
	}
	return nil
}

// isInRange reports whether the sender's numbers and durations are in their valid ranges.
func (c *Config) isInRange() bool {
	return c.Queue >= 1 && c.Queue <= maxQueue &&
		c.Attempts >= 1 && c.Attempts <= maxAttempts &&
		c.Backoff > 0 && c.Timeout > 0
}

// ConfigError is the error of an invalid setting of the sender.
type ConfigError struct {
	Setting string // such as sender.url
	Err     error  // the cause; its text names the setting
}

// Error returns the text of the cause.
func (e *ConfigError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ConfigError) Unwrap() error { return e.Err }

func newConfigError(setting, text string) *ConfigError {
	return &ConfigError{Setting: setting, Err: errors.New(text)}
}
