package fake

import (
	"testing"
	"time"
)

func TestWebhookEncoding(t *testing.T) {
	at := time.Date(2026, 12, 2, 19, 0, 0, 0, time.FixedZone("", 3600))
	got, err := EncodeWebhook(at, WebhookRequest{
		Class:       "repair-order",
		FunctionKey: functionKey,
		TimeoutMs:   1500,
		MemoryMB:    512,
		Lanes:       1,
		LoadMs:      640,
		Body:        []byte("lamp 17 is dark"),
	})
	want := `{"type":"call.requested","timestamp":"2026-12-02T18:00:00Z","data":{"class":"repair-order",` +
		`"key":"7f3a9c21e0b4d655","wait_ms":1500,"memory_mb":512,"lanes":1,"load_ms":640,"body":"bGFtcCAxNyBpcyBkYXJr"}}`
	if err != nil || string(got) != want {
		t.Errorf("%v, got %s", err, got)
	}
}
