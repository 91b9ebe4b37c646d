package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strconv"
	"time"

	"crankhold/internal/directory"
	"crankhold/internal/wire"
	"crankhold/policy"
)

// config is what the platform tells a function router.
type config struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
	Names    string          `json:"names"`
	Known    directory.Known `json:"known"`
	Settings json.RawMessage `json:"settings"`

	seed    uint64
	module  policy.Config
	network network
}

// network is what the sockets need of the settings and the module does not.
type network struct {
	FailureDomains []string `json:"failureDomains"`
	Classes        []struct {
		Name string `json:"name"`
	} `json:"classes"`
	Limits struct {
		DialTimeoutMs  float64 `json:"dialTimeoutMs"`
		KeepaliveMs    float64 `json:"keepaliveMs"`
		MaxOpen        int     `json:"maxOpen"`
		StreamsPerConn int     `json:"streamsPerConn"`
	} `json:"limits"`
}

// readConfig reads and checks the file that EDGE_CONFIG names. EDGE_NAME and EDGE_LISTEN go before
// what it says.
func readConfig(getenv func(string) string) (*config, error) {
	path := getenv("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG names no file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	var c config
	if err := json.Unmarshal(text, &c); err != nil {
		return nil, fmt.Errorf("config %s: %w", path, err)
	}
	for name, to := range map[string]*string{"EDGE_NAME": &c.Name, "EDGE_LISTEN": &c.Listen} {
		if v := getenv(name); v != "" {
			*to = v
		}
	}
	for name, addr := range map[string]string{"listen": c.Listen, "names": c.Names} {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return nil, fmt.Errorf("config %s: %s: %w", path, name, err)
		}
	}
	if c.seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("config %s: seed: %w", path, err)
	}
	if c.module, err = wire.ParseSettings(c.Settings); err != nil {
		return nil, fmt.Errorf("config %s: %w", path, err)
	}
	n := &c.network
	if err := json.Unmarshal(c.Settings, n); err != nil {
		return nil, fmt.Errorf("config %s: settings: %w", path, err)
	}
	for i, k := range n.Classes {
		if k.Name == "" {
			return nil, fmt.Errorf("config %s: class %d has no name", path, i)
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

// clientConns is how many accepted connections there may be: a third of the descriptors.
func (c *config) clientConns() int { return c.Limits.Sockets / 3 }

// workerConns is how many connections to workers there may be: what the clients' third leaves.
func (c *config) workerConns() int {
	return c.Limits.Sockets - c.clientConns() - min(ownFiles, c.Limits.Sockets/4)
}

// share scales a bound that is right for 192 MB to the memory that there is. The bounds on what is held for
// peers come to 80 MiB of those 192 with the webhooks' outcomes, and keep that part of any smaller limit.
func (c *config) share(bytes int) int { return bytes * min(c.Limits.MemoryMB, 192) / 192 }

// maxOpen is how many requests may be open: at 2 KiB each, bodies aside, a sixteenth of the memory.
func (c *config) maxOpen() int { return min(c.network.Limits.MaxOpen, c.Limits.MemoryMB*32) }

// turnedAway is what clients are told that there is no room for.
func (c *config) turnedAway() time.Duration {
	if !c.module.RetryAfter {
		return 0
	}
	return min(time.Second, c.module.MaxRetryAfter)
}

// needsRestart names what fresh changes and a reload does not take over. The seed and the start's list
// count at a start alone.
func (c *config) needsRestart(fresh *config) (changed []string) {
	for _, part := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == fresh.Name}, {"listen", c.Listen == fresh.Listen}, {"limits", c.Limits == fresh.Limits},
		{"settings", reflect.DeepEqual(c.module, fresh.module) && reflect.DeepEqual(c.network, fresh.network)},
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

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
