package workerclient

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"crankhold/internal/endpoint"
	"crankhold/internal/router"
)

func TestConnectionErrorNamesAddressAndReason(t *testing.T) {
	addr := endpoint.Addr{Network: endpoint.TCP4, Addr: "192.0.2.1:80"}
	malformed := &MalformedResponseError{Violation: MissingLineEnd, Data: "*4"}
	for _, reason := range []error{malformed, ErrResponseStalled, ErrConnectionSilent} {
		var err error = &ConnectionError{Addr: addr, Reason: reason}
		var typed *ConnectionError
		if !errors.Is(err, reason) || !errors.As(err, &typed) || typed.Addr != addr || err.Error() != reason.Error() {
			t.Errorf("%v does not wrap %v with address %v", err, reason, addr)
		}
	}
}

// Callers need not know the violations to recognize a malformed response.
func TestViolationsAreMalformedResponses(t *testing.T) {
	for violation := range violationCount {
		err := error(&MalformedResponseError{Violation: violation, Data: "*4"})
		if !errors.Is(violation, ErrMalformedResponse) || !errors.Is(err, ErrMalformedResponse) || violation.String() == "" {
			t.Errorf("violation %d: %v", violation, err)
		}
	}
}

// The log event of a connection that is closed because of an error has the address and the reason as separate
// attributes. It goes to the configured logger, or to the default logger if none is configured.
func TestConnectionClosedWithAnErrorIsLogged(t *testing.T) {
	for _, configured := range []bool{true, false} {
		var log bytes.Buffer
		logger := slog.New(slog.NewTextHandler(&log, nil))
		if !configured {
			previous := slog.Default()
			slog.SetDefault(logger)
			t.Cleanup(func() { slog.SetDefault(previous) })
		}
		p := newTestPool(func(cfg *Config) {
			if configured {
				cfg.Logger = logger
			}
		})
		p.StartAttempt(1, router.Attempt{Request: 1}, newRequest(requestID), time.Second)
		p.transports[0].handler.DialCompleted(nil)
		p.transports[0].handler.Data([]byte("no response\r\n"))
		const want = `level=WARN msg=worker_connection_closed addr=127.0.0.1:1 err="malformed response: unexpected type at \"no response\\r\\n\""`
		if !strings.Contains(log.String(), want) {
			t.Errorf("logger configured %v: logged %q, want %q", configured, log.String(), want)
		}
	}
}
