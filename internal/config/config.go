package config

import (
	"encoding/json"
	"net/netip"
	"os"
	"strconv"
	"time"

	"crankhold/internal/discovery"
	"crankhold/internal/simulator"
	"crankhold/policy"
)

// Environment variables that Read uses. The name and the listen address override the values in the file.
const (
	fileVariable   = "EDGE_CONFIG"
	nameVariable   = "EDGE_NAME"
	listenVariable = "EDGE_LISTEN"
)

// Default values for keys that are absent or not above 0.
const (
	defaultDialTimeoutMs            = 250
	defaultKeepAliveMs              = 30000
	defaultMaxOpenRequests          = 20000
	defaultMaxRequestsPerConnection = 32
	defaultMemoryMB                 = 192
	defaultMaxDescriptors           = 1024
)

// The lowest limits with which a router can serve requests.
const (
	minMemoryMB    = 32
	minDescriptors = 64
)

// Config is the platform's configuration of a function router. Read checks it and fills in the defaults; nothing
// changes it afterwards.
type Config struct {
	Name          string             `json:"name"`
	Listen        string             `json:"listen"` // address of the Thrift front
	Seed          string             `json:"seed"`   // hexadecimal
	Limits        Limits             `json:"limits"`
	DiscoveryAddr string             `json:"names"`
	Snapshot      discovery.Snapshot `json:"known"` // endpoint list at the start
	Settings      json.RawMessage    `json:"settings"`

	// Read derives the fields below from the file.

	// SeedValue is the number that Seed represents.
	SeedValue uint64
	// Policy holds the part of the settings that configures the policy.
	Policy policy.Config
	// Network holds the part of the settings that the router uses outside of the policy.
	Network Network
}

// Limits holds the limits on the resources of the process. It is an alias because errors of encoding/json would contain
// the name of a defined type.
type Limits = struct {
	MemoryMB       int `json:"memory_mb"`
	MaxDescriptors int `json:"sockets"` // descriptors
}

// Network is the part of the settings that the router uses outside of the policy: the names of zones, kinds, classes
// and tenants, the memory of each kind, and limits on connections and requests.
type Network struct {
	Zones     []string     `json:"failureDomains"`
	Kinds     []string     `json:"kinds"`
	Classes   []NamedEntry `json:"classes"`
	Tenants   []NamedEntry `json:"accounts"`
	Specifics struct {
		MemoryMBByKind []float64 `json:"memoryMbByKind"`
	} `json:"specifics"`
	Limits struct {
		DialTimeoutMs            float64 `json:"dialTimeoutMs"`
		KeepAliveMs              float64 `json:"keepaliveMs"`
		MaxOpenRequests          int     `json:"maxOpen"`
		MaxRequestsPerConnection int     `json:"streamsPerConn"`
	} `json:"limits"`
}

// NamedEntry is a class or a tenant in the settings. It is an alias for the same reason as Limits.
type NamedEntry = struct {
	Name string `json:"name"`
}

// Millis converts a number of milliseconds, the unit of durations in the settings, to a Duration.
func Millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Read reads and checks the file that the environment variable EDGE_CONFIG names. EDGE_NAME and EDGE_LISTEN override
// values in the file. The error is ErrNoFile, a FileError or a FieldError. Read blocks on file I/O and must not be
// called on the event loop.
func Read(getenv func(string) string) (*Config, error) {
	file := getenv(fileVariable)
	if file == "" {
		return nil, ErrNoFile
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{File: file, Err: err}
	}
	c := &Config{}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, &FileError{File: file, Err: err}
	}
	c.applyOverrides(getenv)
	if err := c.checkAddresses(file); err != nil {
		return nil, err
	}
	if c.SeedValue, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return nil, &FieldError{File: file, Field: "seed", Err: err}
	}
	if err := c.readSettings(file); err != nil {
		return nil, err
	}
	c.setDefaults()
	if err := c.checkLimits(file); err != nil {
		return nil, err
	}
	return c, nil
}

// applyOverrides applies the environment variables that take precedence over the file.
func (c *Config) applyOverrides(getenv func(string) string) {
	if name := getenv(nameVariable); name != "" {
		c.Name = name
	}
	if listen := getenv(listenVariable); listen != "" {
		c.Listen = listen
	}
}

// checkAddresses checks the listen address and the address of the discovery server.
func (c *Config) checkAddresses(file string) error {
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return &FieldError{File: file, Field: "listen", Err: err}
	}
	if _, err := netip.ParseAddrPort(c.DiscoveryAddr); err != nil {
		return &FieldError{File: file, Field: "names", Err: err}
	}
	return nil
}

// readSettings decodes the settings twice: into Policy, with the parser that the simulator uses too, and into Network.
func (c *Config) readSettings(file string) error {
	var err error
	if c.Policy, err = simulator.ParseSettings(c.Settings); err != nil {
		return &FileError{File: file, Err: err} // the text of err already starts with "settings"
	}
	if err := json.Unmarshal(c.Settings, &c.Network); err != nil {
		return &FieldError{File: file, Field: "settings", Err: err}
	}
	if err := checkNames("class", c.Network.Classes); err != nil {
		return &FileError{File: file, Err: err}
	}
	if err := checkNames("account", c.Network.Tenants); err != nil {
		return &FileError{File: file, Err: err}
	}
	return nil
}

// checkNames checks that each entry of a list has a name. The error is a MissingNameError.
func checkNames(kind string, list []NamedEntry) error {
	for i, entry := range list {
		if entry.Name == "" {
			return &MissingNameError{Kind: kind, Index: i}
		}
	}
	return nil
}

// checkLimits checks that the limits, including their defaults, are not below the lowest ones that a router can serve
// with.
func (c *Config) checkLimits(file string) error {
	if c.Limits.MemoryMB < minMemoryMB || c.Limits.MaxDescriptors < minDescriptors {
		return &FieldError{File: file, Field: "limits", Err: errLimitsTooLow}
	}
	return nil
}

// setDefaults sets the defaults of values that are absent or not above 0.
func (c *Config) setDefaults() {
	limits := &c.Network.Limits
	setDefault(&limits.DialTimeoutMs, defaultDialTimeoutMs)
	setDefault(&limits.KeepAliveMs, defaultKeepAliveMs)
	setDefault(&limits.MaxOpenRequests, defaultMaxOpenRequests)
	setDefault(&limits.MaxRequestsPerConnection, defaultMaxRequestsPerConnection)
	setDefault(&c.Limits.MemoryMB, defaultMemoryMB)
	setDefault(&c.Limits.MaxDescriptors, defaultMaxDescriptors)
}

// setDefault sets a value to its default if it is absent or not above 0.
func setDefault[T int | float64](value *T, defaultValue T) {
	if *value <= 0 {
		*value = defaultValue
	}
}
