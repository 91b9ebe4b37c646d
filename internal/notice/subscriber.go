package notice

import (
	"fmt"
	"net/url"
	"strconv"
	"time"

	"crankhold/internal/signature"
)

const defaultHTTPPort = ":80"

// subscriber is the receiver of notices, and the secret with which notices to it are signed. It is immutable.
type subscriber struct {
	url     *url.URL
	address string // to connect to
	secret  []byte
}

func newSubscriber(config Config) (*subscriber, error) {
	target, err := url.Parse(config.URL)
	if err != nil {
		return nil, fmt.Errorf("sender.url: %w", err)
	}
	secret, err := signature.ReadSecret(config.Key)
	if err != nil {
		return nil, err
	}
	return &subscriber{url: target, address: connectAddress(config.Connect, target), secret: secret}, nil
}

// connectAddress returns the address that notices are sent to: the configured one if there is one, otherwise the URL's.
func connectAddress(configured string, target *url.URL) string {
	switch {
	case configured != "":
		return configured
	case target.Port() == "":
		return target.Host + defaultHTTPPort
	}
	return target.Host
}

// requestHead returns the request line and the headers of a notice that is sent at the given time of the wall clock.
// The signature covers that time, so it differs between attempts.
func (s *subscriber) requestHead(n *notice, sentAt time.Time) []byte {
	timestamp := strconv.FormatInt(sentAt.Unix(), 10)
	var head []byte
	head = fmt.Appendf(head, "POST %s HTTP/1.1\r\n", s.url.RequestURI())
	head = fmt.Appendf(head, "Host: %s\r\n", s.url.Host)
	head = fmt.Appendf(head, "Content-Type: application/json\r\n")
	head = fmt.Appendf(head, "Content-Length: %d\r\n", len(n.body))
	head = fmt.Appendf(head, "%s: %s\r\n", signature.HeaderID, n.id)
	head = fmt.Appendf(head, "%s: %s\r\n", signature.HeaderTimestamp, timestamp)
	head = fmt.Appendf(head, "%s: %s\r\n", signature.HeaderSignature, signature.Sign(s.secret, n.id, timestamp, n.body))
	return fmt.Appendf(head, "Connection: close\r\n\r\n")
}
