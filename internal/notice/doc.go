// Package notice sends signed notices of what became of orders. They follow the Standard Webhooks specification:
// HTTP/1.1 POST requests that package signature signs. Notices are kept in memory only: those that the queue has no
// capacity for, and those whose attempts are used up, are dropped and counted.
//
// A Sender belongs to the event loop's goroutine and is not safe for concurrent use.
package notice
