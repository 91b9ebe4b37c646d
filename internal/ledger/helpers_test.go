package ledger

import "time"

var noon = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

// testConfig returns a configuration with a file size of at most 1 MiB and a retention of one hour.
func testConfig(path string) Config {
	return Config{Path: path, MaxBytes: 1 << 20, Retention: time.Hour}
}

// beginOrder calls Begin for an order and returns the error that is passed to done.
func beginOrder(l *Ledger, entry Entry) error {
	recorded := make(chan error, 1)
	l.Begin(entry, noon, func(err error) { recorded <- err })
	return <-recorded
}
