// Package ledger is the write-ahead log of orders, the requests that must never run twice. An order's first entry is on
// the disk before the order is first forwarded, so an order without an entry has never been forwarded, and one that was
// in flight when the process died is known at the next start.
package ledger
