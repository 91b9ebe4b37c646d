package fake

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// webhookKeyPrefix begins a key file's text.
const webhookKeyPrefix = "whsec_"

// WebhookKey is the secret by which webhooks are signed.
type WebhookKey []byte

// ReadWebhookKey reads a key file: the prefix "whsec_" and the key in base64.
func ReadWebhookKey(path string) (WebhookKey, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	encoded := strings.TrimPrefix(strings.TrimSpace(string(text)), webhookKeyPrefix)
	return base64.StdEncoding.DecodeString(encoded)
}

// Sign sets a webhook's id, time and signature by Standard Webhooks: an HMAC-SHA256 over the id, the time and the body.
func (k WebhookKey) Sign(header http.Header, id string, at time.Time, body []byte) {
	timestamp := strconv.FormatInt(at.Unix(), 10)
	mac := hmac.New(sha256.New, k)
	io.WriteString(mac, id+"."+timestamp+".")
	mac.Write(body)
	header.Set("webhook-id", id)
	header.Set("webhook-timestamp", timestamp)
	header.Set("webhook-signature", "v1,"+base64.StdEncoding.EncodeToString(mac.Sum(nil)))
}
