package ledger

import "time"

// Config configures the ledger. If Path is empty, there is no ledger and all orders are rejected.
type Config struct {
	Path string `toml:"path"`
	// MaxBytes limits the size of the file. If an entry would exceed it, the file is compacted first, at most once a
	// minute.
	MaxBytes int64 `toml:"max_bytes"`
	// Retention is how long an order is kept, counted from the timestamp of its event.
	Retention time.Duration `toml:"retention"`
}
