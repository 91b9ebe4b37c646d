package workerclient

import (
	"log/slog"
	"testing"

	"crankhold/internal/testutil"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler)) // the model check alone would log a million lines
	testutil.Main(m)
}
