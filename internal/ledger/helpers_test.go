package ledger

import "time"

var noon = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

// testConfig returns the configuration of a ledger of 1 MiB that retains orders for an hour.
func testConfig(path string) Config {
	return Config{Path: path, MaxBytes: 1 << 20, Retention: time.Hour}
}

// beginOrder has an order recorded, and returns what is reported of it.
func beginOrder(l *Ledger, entry Entry) error {
	recorded := make(chan error, 1)
	l.Begin(entry, noon, func(err error) { recorded <- err })
	return <-recorded
}
