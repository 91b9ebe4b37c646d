package webhook

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/BurntSushi/toml"

	"crankhold/internal/ledger"
	"crankhold/internal/notice"
)

// Config holds the settings in the webhook file: those of the receiver and those of the notice sender.
type Config struct {
	Receiver ReceiverConfig `toml:"receiver"`
	Sender   notice.Config  `toml:"sender"`
}

// ReceiverConfig configures the front that accepts requests as webhooks.
type ReceiverConfig struct {
	Enabled bool        `toml:"enabled"`
	Listen  string      `toml:"listen"`
	Path    string      `toml:"path"`
	Keys    []KeyConfig `toml:"keys"`
	// Tolerance is the largest accepted difference between a delivery's timestamp and the time at which it arrives.
	Tolerance time.Duration `toml:"tolerance"`
	// DedupeFor is how long the outcome of a request that is not an order is kept after its response.
	DedupeFor time.Duration `toml:"dedupe_for"`
	Ledger    ledger.Config `toml:"ledger"`
}

// KeyConfig names a key file. If the key is being retired, Until is the time at which it stops being active.
type KeyConfig struct {
	File  string    `toml:"file"`
	Until time.Time `toml:"until"`
}

// The lower limits of settings, and the default of receiver.ledger.max_bytes.
const (
	minTolerance           = time.Second
	minDedupeTolerances    = 2
	minRetentionTolerances = 4
	minLedgerBytes         = 1 << 17
	defaultLedgerBytes     = 64 << 20
)

// defaultConfig returns the defaults of the settings.
func defaultConfig() *Config {
	return &Config{
		Receiver: ReceiverConfig{
			Path:      "/hooks",
			Tolerance: 5 * time.Minute,
			DedupeFor: 15 * time.Minute,
			Ledger:    ledger.Config{MaxBytes: defaultLedgerBytes, Retention: 72 * time.Hour},
		},
		Sender: notice.DefaultConfig(),
	}
}

// ReadConfig reads and checks a webhook file. Its errors are of type *ConfigError.
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
		setting := unknown[0].String()
		return nil, &ConfigError{File: path, Setting: setting, Err: errors.New("unknown setting " + setting)}
	}
	if invalid := config.check(); invalid != nil {
		invalid.File = path
		return nil, invalid
	}
	return config, nil
}

// check checks the settings of the receiver and of the sender if they are enabled. The caller sets the error's File.
func (c *Config) check() *ConfigError {
	if c.Receiver.Enabled {
		if invalid := c.Receiver.check(); invalid != nil {
			return invalid
		}
	}
	if c.Sender.Enabled {
		return checkSender(&c.Sender)
	}
	return nil
}

func (c *ReceiverConfig) check() *ConfigError {
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return &ConfigError{Setting: "receiver.listen", Err: fmt.Errorf("receiver.listen: %w", err)}
	}
	switch {
	case len(c.Path) == 0 || c.Path[0] != '/' || !isTarget([]byte(c.Path)):
		return newConfigError("receiver.path", "receiver.path is not a valid path")
	case len(c.Keys) == 0:
		return newConfigError("receiver.keys", "receiver.keys is empty")
	case c.Tolerance < minTolerance || c.DedupeFor < minDedupeTolerances*c.Tolerance:
		return newConfigError("receiver.tolerance",
			"receiver.tolerance must be a second or more, and dedupe_for twice as long or more")
	case c.Ledger.Path != "" && !c.isLedgerInRange():
		return newConfigError("receiver.ledger",
			"receiver.ledger: retention of at least 4 tolerances and 131072 bytes are needed")
	}
	return nil
}

// isLedgerInRange reports whether the ledger's size limit is high enough, and whether the ledger retains orders for
// longer than deliveries may be delayed.
func (c *ReceiverConfig) isLedgerInRange() bool {
	return c.Ledger.Retention >= minRetentionTolerances*c.Tolerance && c.Ledger.MaxBytes >= minLedgerBytes
}

func newConfigError(setting, text string) *ConfigError {
	return &ConfigError{Setting: setting, Err: errors.New(text)}
}

// checkSender checks the settings of the notice sender.
func checkSender(config *notice.Config) *ConfigError {
	var invalid *notice.ConfigError
	if errors.As(config.Check(), &invalid) {
		return &ConfigError{Setting: invalid.Setting, Err: invalid.Err}
	}
	return nil
}
