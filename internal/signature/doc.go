// Package signature signs and verifies messages by the Standard Webhooks specification
// (https://www.standardwebhooks.com): HMAC-SHA256 of a message's id, timestamp and body, in the headers webhook-id,
// webhook-timestamp and webhook-signature. It knows nothing of how a message is carried. Its functions may be called on
// any goroutine.
package signature
