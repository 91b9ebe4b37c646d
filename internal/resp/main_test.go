package resp

import (
	"log/slog"
	"testing"

	"crankhold/internal/standin"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler)) // the model check alone would write a million lines
	standin.Main(m)
}
