package logging_test

import (
	"errors"
	"log/slog"
	"os"
	"strings"

	"crankhold/internal/logging"
)

// dropTime removes the first key of each line, the time, because it would make the example's output differ in each run.
type dropTime struct{ out *os.File }

func (d dropTime) Write(line []byte) (int, error) {
	_, rest, _ := strings.Cut(string(line), " ")
	_, err := d.out.WriteString(rest)
	return len(line), err
}

func Example() {
	logger := logging.New(dropTime{os.Stdout}, slog.LevelInfo)
	logger.Debug("below the level")
	logger.Info("server_started", slog.String("listen", "127.0.0.1:10080"))
	logger.Warn("worker_dial_failed", slog.String("addr", "10.1.0.9:10080"), slog.Any("err", errors.New("connection refused")))
	// Output:
	// level=INFO event=server_started listen=127.0.0.1:10080
	// level=WARN event=worker_dial_failed addr=10.1.0.9:10080 err="connection refused"
}
