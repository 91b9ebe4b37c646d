// Package notice sends signed notices about the results of orders. They follow the Standard Webhooks specification:
// HTTP/1.1 POST requests that package signature signs. Notices are kept in memory only. A notice is dropped and counted
// if the queue has no capacity for it, if its last attempt fails, or if the subscriber responds with 410.
//
// A Sender must only be used on the event loop's goroutine and is not safe for concurrent use.
package notice
