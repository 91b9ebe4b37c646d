// Package config reads what the platform tells a function router: the file that EDGE_CONFIG names. It may
// import the parsers of what that file holds; the service and the command line call it.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"
	"time"

	"crankhold/internal/discovery"
	"crankhold/internal/lang"
	"crankhold/internal/simulator"
	"crankhold/policy"
)

// Config is what the platform tells a function router.
type Config struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
	DiscoveryAddr string             `json:"names"`
	Known         discovery.Snapshot `json:"known"`
	Settings      json.RawMessage    `json:"settings"`

	SeedValue uint64 // Seed as a number
	Policy    policy.Config
	Network   Network
}

// Network is what the sockets need of the settings and the module does not.
type Network struct {
	FailureDomains []string `json:"failureDomains"`
	Kinds          []string `json:"kinds"`
	Classes        []struct {
		Name string `json:"name"`
	} `json:"classes"`
	Accounts []struct {
		Name string `json:"name"`
	} `json:"accounts"`
	Specifics struct {
		MemoryMbByKind []float64 `json:"memoryMbByKind"`
	} `json:"specifics"`
	Limits struct {
		DialTimeoutMs  float64 `json:"dialTimeoutMs"`
		KeepaliveMs    float64 `json:"keepaliveMs"`
		MaxOpen        int     `json:"maxOpen"`
		StreamsPerConn int     `json:"streamsPerConn"`
	} `json:"limits"`
}

// Read reads and checks the file that EDGE_CONFIG names. EDGE_NAME and EDGE_LISTEN go before
// what it says.
func Read(getenv func(string) string) (*Config, error) {
	path := getenv("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG names no file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	var c Config
	if err := json.Unmarshal(text, &c); err != nil {
		return nil, fmt.Errorf("config %s: %w", path, err)
	}
	for name, to := range map[string]*string{"EDGE_NAME": &c.Name, "EDGE_LISTEN": &c.Listen} {
		if v := getenv(name); v != "" {
			*to = v
		}
	}
	for name, addr := range map[string]string{"listen": c.Listen, "names": c.DiscoveryAddr} {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return nil, fmt.Errorf("config %s: %s: %w", path, name, err)
		}
	}
	if c.SeedValue, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("config %s: seed: %w", path, err)
	}
	if c.Policy, err = simulator.ParseSettings(c.Settings); err != nil {
		return nil, fmt.Errorf("config %s: %w", path, err)
	}
	n := &c.Network
	if err := json.Unmarshal(c.Settings, n); err != nil {
		return nil, fmt.Errorf("config %s: settings: %w", path, err)
	}
	for i, k := range n.Classes {
		if k.Name == "" {
			return nil, fmt.Errorf("config %s: class %d has no name", path, i)
		}
	}
	for i, a := range n.Accounts {
		if a.Name == "" {
			return nil, fmt.Errorf("config %s: account %d has no name", path, i)
		}
	}
	orDefault(&n.Limits.DialTimeoutMs, 250)
	orDefault(&n.Limits.KeepaliveMs, 30000)
	orDefault(&n.Limits.MaxOpen, 20000)
	orDefault(&n.Limits.StreamsPerConn, 32)
	orDefault(&c.Limits.MemoryMB, 192)
	orDefault(&c.Limits.Sockets, 1024)
	if c.Limits.MemoryMB < 32 || c.Limits.Sockets < 64 {
		return nil, fmt.Errorf("config %s: limits: too little memory or too few sockets", path)
	}
	return &c, nil
}

// ownFiles is how many descriptors are kept for what is neither a client nor a worker: pollers,
// listeners, the directory, notices, files, and an accepted connection that is yet to be turned away.
const ownFiles = 32

// MaxClientConnections is how many accepted connections there may be: a third of the descriptors.
func (c *Config) MaxClientConnections() int { return c.Limits.Sockets / 3 }

// MaxWorkerConnections is how many connections to workers there may be: what the clients' third leaves.
func (c *Config) MaxWorkerConnections() int {
	return c.Limits.Sockets - c.MaxClientConnections() - min(ownFiles, c.Limits.Sockets/4)
}

// ScaleToMemory scales a bound that is right for 192 MB to the memory that there is. The bounds on what is held for
// peers come to 80 MiB of those 192 with the webhooks' outcomes, and keep that part of any smaller limit.
func (c *Config) ScaleToMemory(bytes int) int { return bytes * min(c.Limits.MemoryMB, 192) / 192 }

// MaxConcurrentRequests is how many requests may be open: at 2 KiB each, bodies aside, a sixteenth of the memory.
func (c *Config) MaxConcurrentRequests() int {
	return min(c.Network.Limits.MaxOpen, c.Limits.MemoryMB*32)
}

// RejectionRetryAfter is what clients are told that there is no room for.
func (c *Config) RejectionRetryAfter() time.Duration {
	if !c.Policy.RetryAfterSupported {
		return 0
	}
	return min(time.Second, c.Policy.MaxRetryAfter)
}

// NeedsRestart names what fresh changes and a reload does not take over. The seed and the start's list
// count at a start alone.
func (c *Config) NeedsRestart(fresh *Config) (changed []string) {
	for _, part := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == fresh.Name}, {"listen", c.Listen == fresh.Listen}, {"limits", c.Limits == fresh.Limits},
		{"settings", reflect.DeepEqual(c.Policy, fresh.Policy) && reflect.DeepEqual(c.Network, fresh.Network)},
	} {
		if !part.same {
			changed = append(changed, part.name)
		}
	}
	return changed
}

// orDefault sets what is absent or no use.
func orDefault[T int | float64](v *T, to T) {
	if *v <= 0 {
		*v = to
	}
}

// Millis turns milliseconds, as settings word them, into a time.
func Millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// ClassNames returns the names of the classes, in the order in which requests count them.
func (c *Config) ClassNames() (names []string) {
	for _, k := range c.Network.Classes {
		names = append(names, k.Name)
	}
	return names
}

// TenantNames returns the names of the tenants, in the order in which requests count them.
func (c *Config) TenantNames() (names []string) {
	for _, a := range c.Network.Accounts {
		names = append(names, a.Name)
	}
	return names
}

// NotIdempotent tells of each class whether it must never run twice.
func (c *Config) NotIdempotent() (once []bool) {
	for _, k := range c.Policy.Classes {
		once = append(once, k.Idempotency == policy.NotIdempotent)
	}
	return once
}

// KindMemoryMB is the memory of a kind of workers, or 0 where the settings don't tell.
func (c *Config) KindMemoryMB(kind string) float64 {
	if i := slices.Index(c.Network.Kinds, kind); i >= 0 && i < len(c.Network.Specifics.MemoryMbByKind) {
		return c.Network.Specifics.MemoryMbByKind[i]
	}
	return 0
}

// RoutingPlatform returns what the settings say that routes may not contradict.
func (c *Config) RoutingPlatform() *lang.Platform {
	p := &lang.Platform{MaxAttempts: c.Policy.MaxAttempts, HedgingAllowed: c.Policy.HedgingAllowed, Kinds: c.Network.Kinds,
		KindMemoryMB: map[string]float64{}, Zones: c.Network.FailureDomains, LoadWindow: c.Policy.LoadBudgetWindow}
	once := c.NotIdempotent()
	for i, name := range c.ClassNames() {
		k := c.Policy.Classes[i]
		p.Classes = append(p.Classes, lang.Class{Name: name, NotIdempotent: once[i], Deadline: k.Deadline, LatencyObjective: k.LatencyObjective})
	}
	for _, k := range p.Kinds {
		if mb := c.KindMemoryMB(k); mb > 0 {
			p.KindMemoryMB[k] = mb
		}
	}
	return p
}
