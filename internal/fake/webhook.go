package fake

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// webhookKeyPrefix is the prefix of the text in a key file.
const webhookKeyPrefix = "whsec_"

// WebhookKey is the secret key that signs webhooks.
type WebhookKey []byte

// ReadWebhookKey reads a key file, which contains the prefix "whsec_" and the key in base64.
func ReadWebhookKey(path string) (WebhookKey, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	encoded := strings.TrimPrefix(strings.TrimSpace(string(text)), webhookKeyPrefix)
	return base64.StdEncoding.DecodeString(encoded)
}

// Sign sets the headers for a webhook's id, time and signature as Standard Webhooks specifies. The signature is an
// HMAC-SHA256 of the id, the time and the body.
func (k WebhookKey) Sign(header http.Header, id string, at time.Time, body []byte) {
	timestamp := strconv.FormatInt(at.Unix(), 10)
	mac := hmac.New(sha256.New, k)
	io.WriteString(mac, id+"."+timestamp+".")
	mac.Write(body)
	header.Set("webhook-id", id)
	header.Set("webhook-timestamp", timestamp)
	header.Set("webhook-signature", "v1,"+base64.StdEncoding.EncodeToString(mac.Sum(nil)))
}

// webhookType is the type of the events that request a function call.
const webhookType = "call.requested"

// webhookEvent is the body of a webhook.
type webhookEvent struct {
	Type      string         `json:"type"`
	Timestamp string         `json:"timestamp"` // RFC 3339
	Data      WebhookRequest `json:"data"`
}

// WebhookRequest is the request in a webhook. The platform defines its keys.
type WebhookRequest struct {
	Class       string `json:"class"`
	FunctionKey string `json:"key"` // 16 hex digits
	TimeoutMs   int64  `json:"wait_ms"`
	MemoryMB    int    `json:"memory_mb"`
	Lanes       int    `json:"lanes"`
	LoadMs      int    `json:"load_ms"`
	Body        []byte `json:"body"`
}

// EncodeWebhook returns the body of a webhook whose event occurred at the given time.
func EncodeWebhook(at time.Time, request WebhookRequest) ([]byte, error) {
	return json.Marshal(webhookEvent{Type: webhookType, Timestamp: at.UTC().Format(time.RFC3339), Data: request})
}
