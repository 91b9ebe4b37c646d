package notice

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"time"

	"crankhold/internal/router"
)

const (
	typePrefix = "repair-order." // start of a notice's type; the order's completion follows
	idPrefix   = "msg_"
	idBytes    = 16 // random bytes in a notice's id, before base64 encoding
)

// notice is a message to the subscriber. Its delivery is retried until the subscriber accepts it or its last attempt
// fails.
type notice struct {
	id       string // the same in each attempt
	body     []byte
	attempts int           // complete attempts
	due      time.Duration // when the next attempt may start
}

// payload is the JSON of a notice.
type payload struct {
	Type      string      `json:"type"`
	Timestamp time.Time   `json:"timestamp"`
	Data      payloadData `json:"data"`
}

type payloadData struct {
	ID        string `json:"id"`
	WebhookID string `json:"webhook_id,omitempty"` // of the delivery that contained the order
	Key       string `json:"key"`
}

// newNotice returns a notice about an order that completed at the given time of the wall clock.
func newNotice(r *router.Request, completion router.Completion, completedAt time.Time) (*notice, error) {
	body, err := json.Marshal(payload{
		Type:      typePrefix + string(completion),
		Timestamp: completedAt.UTC(),
		Data:      payloadData{ID: r.ID, WebhookID: r.Client.Reference, Key: r.Function.Key},
	})
	if err != nil {
		return nil, err
	}
	return &notice{id: newID(), body: body}, nil
}

func newID() string {
	var id [idBytes]byte
	rand.Read(id[:]) // never fails
	return idPrefix + base64.RawURLEncoding.EncodeToString(id[:])
}
