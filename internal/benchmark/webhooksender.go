package benchmark

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"crankhold/internal/fake"
)

// webhookSender sends requests as signed webhooks.
type webhookSender struct {
	url     string
	class   string
	timeout time.Duration
	key     fake.WebhookKey
	client  *http.Client
}

func newWebhookSender(l Load) (*webhookSender, error) {
	u, err := url.Parse(l.Target.HookURL)
	if err != nil {
		return nil, err
	}
	if err := checkLoopback(u.Host); err != nil {
		return nil, err
	}
	key, err := fake.ReadWebhookKey(l.Target.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("webhook key file: %w", err)
	}
	return &webhookSender{
		url:     l.Target.HookURL,
		class:   l.Traffic.Class,
		timeout: l.Traffic.Timeout,
		key:     key,
		client: &http.Client{
			Timeout: l.Traffic.Timeout + time.Second,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: l.Traffic.Connections,
				MaxConnsPerHost:     l.Traffic.Connections,
			},
		},
	}, nil
}

// send sends a webhook from a new goroutine, which stops at the client's timeout at the latest. The webhook-id is
// random and not the request's ID, because the IDs repeat with the seed and no two runs may share a webhook-id.
func (s *webhookSender) send(key, _ string, done func(fake.ResponseStatus)) {
	go func() {
		status, err := s.deliver(key)
		if err != nil {
			status = statusLost
		}
		done(status)
	}()
}

// deliver sends a webhook and blocks until its response.
func (s *webhookSender) deliver(key string) (fake.ResponseStatus, error) {
	request, err := s.request(key)
	if err != nil {
		return "", err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body) // the connection is reused only if the body was read
	return responseStatusOf(response.StatusCode), nil
}

func (s *webhookSender) request(key string) (*http.Request, error) {
	now := time.Now()
	body, err := fake.EncodeWebhook(now, fake.WebhookRequest{
		Class:       s.class,
		FunctionKey: key,
		TimeoutMs:   s.timeout.Milliseconds(),
		MemoryMB:    256,
		Lanes:       32,
		LoadMs:      300,
		Body:        []byte("x"),
	})
	if err != nil {
		return nil, err
	}
	var id [8]byte
	rand.Read(id[:])
	request, err := http.NewRequest(http.MethodPost, s.url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	s.key.Sign(request.Header, hex.EncodeToString(id[:]), now, body)
	return request, nil
}

// close closes idle connections. Requests in flight complete or time out.
func (s *webhookSender) close() { s.client.CloseIdleConnections() }

// responseStatusOf returns the response status that a router reports with an HTTP status. It returns statusLost for an
// HTTP status that routers do not send.
func responseStatusOf(status int) fake.ResponseStatus {
	switch status {
	case http.StatusOK:
		return fake.Served
	case http.StatusServiceUnavailable:
		return fake.Rejected
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return fake.Failed
	default:
		return statusLost
	}
}
