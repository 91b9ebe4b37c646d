package webhook

import (
	"bytes"
	"errors"
	"log/slog"
	"testing"
	"time"
)

// At most one line is logged in each interval, with the configured logger.
func TestRejectionLogIsThrottled(t *testing.T) {
	var text bytes.Buffer
	log := rejectionLog{logger: slog.New(slog.NewTextHandler(&text, nil))}
	for _, now := range []time.Duration{time.Hour, time.Hour + rejectionLogInterval - 1, time.Hour + rejectionLogInterval} {
		log.add(now, "webhook_delivery_rejected", errors.New("unsigned"))
	}
	if lines := bytes.Count(text.Bytes(), []byte("level=WARN msg=webhook_delivery_rejected front=webhook err=unsigned\n")); lines != 2 {
		t.Errorf("%d lines, want 2:\n%s", lines, text.String())
	}
}
