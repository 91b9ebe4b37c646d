// Package ledger is the write-ahead log of orders, the requests that must never run twice. An order's first entry is on
// the disk before the order is first forwarded, so an order without an entry has never been forwarded, and one that was
// in flight when the process died is known at the next start.
//
// # Format
//
// The file holds one entry a line, as JSON behind a checksum. The last entry of an order counts. Lines are appended,
// and entries that arrive while the file is being written are synced together. Compaction replaces the file by one with
// the last entry of each order that is still retained, and with the retention horizon: the latest time of an order that
// was dropped for its age. The form is fixed; testdata has files that an earlier version wrote.
//
// # Ownership
//
// A Ledger starts one goroutine, the writer, which does all file I/O after Open. Ledger.Begin and Ledger.Update queue
// entries for it and do not block; they are meant for the event loop. Open and Ledger.Close block on the disk and must
// not be called on the event loop. Ledger.Counters may be called by any goroutine.
//
// # Failure behaviour
//
// After a failed write or sync no order is recorded until the file is whole again, which the writer tries with growing
// delays; what became of orders meanwhile is kept in memory and written then. A ledger that is damaged anywhere but in
// its last line is an error of Open, since it would leave open which orders ran. A last line that was cut short is
// dropped: it was never synced, so its order was never forwarded.
package ledger
