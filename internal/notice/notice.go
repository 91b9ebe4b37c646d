package notice

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"time"

	"crankhold/internal/router"
)

const (
	typePrefix = "repair-order." // of a notice's type; how the order ended follows
	idPrefix   = "msg_"
	idBytes    = 16 // of a notice's random id, before base64
)

// notice is a message that is delivered until the subscriber accepts it or its attempts are used up.
type notice struct {
	id       string // the same in each attempt
	body     []byte
	attempts int           // that have ended
	due      time.Duration // when the next attempt may begin
}

// payload is the JSON of a notice.
type payload struct {
	Type      string      `json:"type"`
	Timestamp time.Time   `json:"timestamp"`
	Data      payloadData `json:"data"`
}

type payloadData struct {
	ID        string `json:"id"`
	WebhookID string `json:"webhook_id,omitempty"` // of the delivery that the order came in
	Key       string `json:"key"`
}

// newNotice returns a notice of an order that ended at a wall clock's time.
func newNotice(r *router.Request, completion router.Completion, endedAt time.Time) (*notice, error) {
	body, err := json.Marshal(payload{
		Type:      typePrefix + string(completion),
		Timestamp: endedAt.UTC(),
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
