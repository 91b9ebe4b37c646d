package webhook

import (
	"time"

	"crankhold/internal/signature"
)

// AuthenticationReason says why a delivery was not authenticated.
type AuthenticationReason uint8

// The reasons, in the order in which they are checked.
const (
	InvalidSignatureHeaders AuthenticationReason = iota // a signature header is missing, repeated or malformed
	NoMatchingKey                                       // no signature matches an active key
	StaleTimestamp                                      // the timestamp is not within the tolerance of the current time
)

// String returns the reason as it is logged.
func (r AuthenticationReason) String() string {
	return [...]string{
		InvalidSignatureHeaders: "signature headers are missing, repeated or malformed",
		NoMatchingKey:           "no signature matches an active key",
		StaleTimestamp:          "timestamp is out of tolerance",
	}[r]
}

// AuthenticationError is the error of a delivery that was not authenticated. The response is 401.
type AuthenticationError struct{ Reason AuthenticationReason }

// Error returns the reason.
func (e *AuthenticationError) Error() string { return e.Reason.String() }

// readKeys reads the key files that the configuration names. Its errors are of type *signature.KeyError.
func readKeys(configs []KeyConfig) ([]signature.Key, error) {
	var keys []signature.Key
	for _, config := range configs {
		secret, err := signature.ReadSecret(config.File)
		if err != nil {
			return nil, err
		}
		keys = append(keys, signature.Key{Secret: secret, Until: config.Until})
	}
	return keys, nil
}

// authenticator authenticates deliveries.
type authenticator struct {
	keys      []signature.Key
	clock     *deliveryClock
	tolerance time.Duration // the largest accepted difference between a delivery's timestamp and the current time
}

// authenticate returns the webhook-id of a delivery that is signed with an active key and whose timestamp is within the
// tolerance of the current time. Its errors are of type *AuthenticationError.
func (a *authenticator) authenticate(request *httpRequest, body []byte) (id string, err error) {
	headers, ok := parseSignatureHeaders(request)
	if !ok {
		return "", &AuthenticationError{Reason: InvalidSignatureHeaders}
	}
	if !headers.IsSignedByAny(a.keys, body, a.clock.steady()) {
		return "", &AuthenticationError{Reason: NoMatchingKey}
	}
	if !a.clock.isFresh(headers.SentAt, a.tolerance) {
		return "", &AuthenticationError{Reason: StaleTimestamp}
	}
	return headers.ID, nil
}

// parseSignatureHeaders reads the signature headers. It reports whether each of them is present exactly once and well
// formed.
func parseSignatureHeaders(request *httpRequest) (headers signature.Headers, ok bool) {
	id, idCount := request.header(signature.HeaderID)
	timestamp, timestampCount := request.header(signature.HeaderTimestamp)
	signatures, signatureCount := request.header(signature.HeaderSignature)
	if idCount != 1 || timestampCount != 1 || signatureCount != 1 {
		return headers, false
	}
	return signature.ParseHeaders(id, timestamp, signatures)
}
