// Package ledger is the write-ahead log of orders, the requests that must never run twice. The first entry of an order
// is synced to the disk before the order is forwarded. An order without an entry has therefore never been forwarded,
// and an order that was in flight when the process exited is known after the next start.
//
// # Format
//
// Each line of the file holds one entry: a checksum followed by JSON. The last entry of an order states what is known
// of it. Lines are appended, and entries that arrive during a write are synced together. Compaction replaces the file
// by one that holds the last entry of each order that is still retained, and the retention horizon: the latest event
// time of an order that was dropped because of its age. The format must not change; testdata has files that an earlier
// version wrote.
//
// # Ownership
//
// Open starts one goroutine, the writer, which does all file I/O after Open has returned. Ledger.Begin and
// Ledger.Update queue entries for the writer. They do not block and may be called on the event loop. Open and
// Ledger.Close block on the disk and must not be called on the event loop. Ledger.Counters may be called by any
// goroutine.
//
// # Failure behavior
//
// After a failed write or sync, no order is recorded until the file has recovered. The writer retries the recovery with
// increasing delays. Outcomes of orders that arrive in the meantime are kept in memory and written on recovery. Open
// returns an error if a complete line is damaged, because it would be unknown which orders ran.
// An incomplete last line is dropped: it was never synced, so its order was never forwarded.
package ledger
