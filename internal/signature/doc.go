// Package signature signs and verifies messages according to the Standard Webhooks specification
// (https://www.standardwebhooks.com): HMAC-SHA256 of a message's id, timestamp and body, in the headers webhook-id,
// webhook-timestamp and webhook-signature. It does not depend on how a message is transported. Its functions may be
// called on any goroutine.
package signature
