package webhook

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/BurntSushi/toml"

	"crankhold/internal/ledger"
)

// Config is the webhook file.
type Config struct {
	Receiver ReceiverConfig `toml:"receiver"`
	Sender   SenderConfig   `toml:"sender"`
}

// ReceiverConfig configures the front that takes requests from webhooks.
type ReceiverConfig struct {
	Enabled bool        `toml:"enabled"`
	Listen  string      `toml:"listen"`
	Path    string      `toml:"path"`
	Keys    []KeyConfig `toml:"keys"`
	// Tolerance is how far a delivery's timestamp may be from the time at which it arrives.
	Tolerance time.Duration `toml:"tolerance"`
	// DedupeFor is how long the outcome of a request that is no order is kept.
	DedupeFor time.Duration `toml:"dedupe_for"`
	Ledger    ledger.Config `toml:"ledger"`
}

// KeyConfig names a key file and, where the key is being retired, until when it is active.
type KeyConfig struct {
	File  string    `toml:"file"`
	Until time.Time `toml:"until"`
}

// SenderConfig configures the sender of notices.
type SenderConfig struct {
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

// The limits of settings.
const (
	minTolerance             = time.Second
	minDedupeTolerances      = 2
	minRetentionTolerances   = 4
	minLedgerBytes           = 1 << 17
	maxNoticeQueue           = 1 << 16
	maxNoticeAttempts        = 20
	defaultLedgerBytes       = 64 << 20
	defaultNoticeQueueLength = 256
)

// defaultConfig returns what holds for settings that the file leaves out.
func defaultConfig() *Config {
	return &Config{
		Receiver: ReceiverConfig{
			Path:      "/hooks",
			Tolerance: 5 * time.Minute,
			DedupeFor: 15 * time.Minute,
			Ledger:    ledger.Config{MaxBytes: defaultLedgerBytes, Retention: 72 * time.Hour},
		},
		Sender: SenderConfig{
			Queue:    defaultNoticeQueueLength,
			Attempts: 6,
			Backoff:  time.Second,
			Timeout:  10 * time.Second,
		},
	}
}

// ReadConfig reads and checks a webhook file. Its errors are ConfigErrors.
func ReadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &ConfigError{File: path, Err: err}
	}
	return parseConfig(path, string(text))
}

func parseConfig(path, text string) (*Config, error) {
	config := defaultConfig()
	meta, err := toml.Decode(text, config)
	if err != nil {
		return nil, &ConfigError{File: path, Err: err}
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		key := unknown[0].String()
		return nil, &ConfigError{File: path, Key: key, Err: errors.New("unknown setting " + key)}
	}
	if problem := config.check(); problem != nil {
		return nil, &ConfigError{File: path, Key: problem.key, Err: problem.err}
	}
	return config, nil
}

// settingProblem is a setting that can't be used.
type settingProblem struct {
	key string
	err error // its text names the setting
}

func newProblem(key, text string) *settingProblem {
	return &settingProblem{key, errors.New(text)}
}

// check checks what is turned on.
func (c *Config) check() *settingProblem {
	if c.Receiver.Enabled {
		if problem := c.Receiver.check(); problem != nil {
			return problem
		}
	}
	if c.Sender.Enabled {
		return c.Sender.check()
	}
	return nil
}

func (c *ReceiverConfig) check() *settingProblem {
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return &settingProblem{"receiver.listen", fmt.Errorf("receiver.listen: %w", err)}
	}
	switch {
	case len(c.Path) == 0 || c.Path[0] != '/' || !isTarget([]byte(c.Path)):
		return newProblem("receiver.path", "receiver.path is no path")
	case len(c.Keys) == 0:
		return newProblem("receiver.keys", "receiver.keys is empty")
	case c.Tolerance < minTolerance || c.DedupeFor < minDedupeTolerances*c.Tolerance:
		return newProblem("receiver.tolerance",
			"receiver.tolerance must be a second or more, and dedupe_for twice as long or more")
	case c.Ledger.Path != "" && !ledgerInRange(&c.Ledger, c.Tolerance):
		return newProblem("receiver.ledger",
			"receiver.ledger: retention of at least 4 tolerances and 131072 bytes are needed")
	}
	return nil
}

// ledgerInRange reports whether the ledger is large enough, and reaches further back than deliveries may be delayed.
func ledgerInRange(c *ledger.Config, tolerance time.Duration) bool {
	return c.Retention >= minRetentionTolerances*tolerance && c.MaxBytes >= minLedgerBytes
}

func (c *SenderConfig) check() *settingProblem {
	target, err := url.Parse(c.URL)
	switch {
	case err != nil:
		return &settingProblem{"sender.url", fmt.Errorf("sender.url: %w", err)}
	case target.Scheme != "http" || target.Host == "" || target.User != nil:
		return newProblem("sender.url", "sender.url must be http://HOST/PATH; TLS is a local proxy's work")
	case c.Key == "":
		return newProblem("sender.key", "sender.key is missing")
	case !c.isInRange():
		return newProblem("sender", "sender: queue, attempts, backoff or timeout is out of range")
	}
	return nil
}

// isInRange reports whether the numbers of the sender can be used.
func (c *SenderConfig) isInRange() bool {
	return c.Queue >= 1 && c.Queue <= maxNoticeQueue &&
		c.Attempts >= 1 && c.Attempts <= maxNoticeAttempts &&
		c.Backoff > 0 && c.Timeout > 0
}
