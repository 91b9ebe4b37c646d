package ledger

import "time"

// Config configures the ledger. If Path is empty, there is no ledger and all orders are rejected.
type Config struct {
	Path string `toml:"path"`
	// MaxBytes limits the file's size. A file that would exceed it is compacted, at most once a minute.
	MaxBytes int64 `toml:"max_bytes"`
	// Retention is how long an order is kept, counted from the timestamp of its event.
	Retention time.Duration `toml:"retention"`
}
