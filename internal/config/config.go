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

// Environment variables that Read uses. Those of name and address override what the file says.
const (
	fileVariable   = "EDGE_CONFIG"
	nameVariable   = "EDGE_NAME"
	listenVariable = "EDGE_LISTEN"
)

// Values that replace those which are absent or not above 0.
const (
	defaultDialTimeoutMs            = 250
	defaultKeepAliveMs              = 30000
	defaultMaxOpenRequests          = 20000
	defaultMaxRequestsPerConnection = 32
	defaultMemoryMB                 = 192
	defaultMaxDescriptors           = 1024
)

// The lowest limits that a router can serve with.
const (
	minMemoryMB    = 32
	minDescriptors = 64
)

// Config is the platform's configuration of a function router. Read returns it checked and complete, and nothing
// changes it afterwards.
type Config struct {
	Name          string             `json:"name"`
	Listen        string             `json:"listen"` // the address of the Thrift front
	Seed          string             `json:"seed"`   // hexadecimal
	Limits        Limits             `json:"limits"`
	DiscoveryAddr string             `json:"names"`
	Snapshot      discovery.Snapshot `json:"known"` // the endpoint list at the start
	Settings      json.RawMessage    `json:"settings"`

	// What Read derives from the file:

	// SeedValue is Seed as a number.
	SeedValue uint64
	// Policy is the part of the settings that configures the policy.
	Policy policy.Config
	// Network is the part of the settings that configures connections.
	Network Network
}

// Limits is what the process may use. It is an alias, since errors of encoding/json would contain the name of a defined
// type.
type Limits = struct {
	MemoryMB       int `json:"memory_mb"`
	MaxDescriptors int `json:"sockets"` // descriptors
}

// Network is the part of the settings that the policy does not read: names, and limits on connections.
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

// NamedEntry is a class or a tenant of the settings. It is an alias for the reason given at Limits.
type NamedEntry = struct {
	Name string `json:"name"`
}

// Millis converts milliseconds, the unit of durations in the settings.
func Millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Read reads and checks the file that the environment variable EDGE_CONFIG names. EDGE_NAME and EDGE_LISTEN override
// the file. Its error is ErrNoFile, a FileError or a FieldError. It blocks and must not be called on the event loop.
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

// checkAddresses checks the addresses to listen on and of the discovery server.
func (c *Config) checkAddresses(file string) error {
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return &FieldError{File: file, Field: "listen", Err: err}
	}
	if _, err := netip.ParseAddrPort(c.DiscoveryAddr); err != nil {
		return &FieldError{File: file, Field: "names", Err: err}
	}
	return nil
}

// readSettings reads the settings twice: once for the policy, whose reader the simulator shares, and once for the
// connections.
func (c *Config) readSettings(file string) error {
	var err error
	if c.Policy, err = simulator.ParseSettings(c.Settings); err != nil {
		return &FileError{File: file, Err: err} // the cause names the settings itself
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

// checkNames checks that each entry has a name. Its error is a MissingNameError.
func checkNames(kind string, list []NamedEntry) error {
	for i, entry := range list {
		if entry.Name == "" {
			return &MissingNameError{Kind: kind, Index: i}
		}
	}
	return nil
}

// checkLimits checks that the limits, defaults included, leave the router enough to serve with.
func (c *Config) checkLimits(file string) error {
	if c.Limits.MemoryMB < minMemoryMB || c.Limits.MaxDescriptors < minDescriptors {
		return &FieldError{File: file, Field: "limits", Err: errLimitsTooLow}
	}
	return nil
}

// setDefaults replaces values that are absent or not above 0.
func (c *Config) setDefaults() {
	limits := &c.Network.Limits
	setDefault(&limits.DialTimeoutMs, defaultDialTimeoutMs)
	setDefault(&limits.KeepAliveMs, defaultKeepAliveMs)
	setDefault(&limits.MaxOpenRequests, defaultMaxOpenRequests)
	setDefault(&limits.MaxRequestsPerConnection, defaultMaxRequestsPerConnection)
	setDefault(&c.Limits.MemoryMB, defaultMemoryMB)
	setDefault(&c.Limits.MaxDescriptors, defaultMaxDescriptors)
}

// setDefault replaces a value that is absent or not above 0.
func setDefault[T int | float64](value *T, defaultValue T) {
	if *value <= 0 {
		*value = defaultValue
	}
}
