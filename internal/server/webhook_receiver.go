package server

import (
	"log/slog"
	"net/netip"
	"time"

	"crankhold/internal/config"
	"crankhold/internal/eventloop"
	"crankhold/internal/router"
	"crankhold/internal/webhook"
	"crankhold/policy"
)

// sweepInterval is the time between two removals of expired webhook outcomes.
const sweepInterval = time.Second

// webhookReceiver is the front that accepts signed webhook deliveries, with its ledger. It belongs to the event loop's
// goroutine.
type webhookReceiver struct {
	receiver   *webhook.Receiver
	listenAddr netip.AddrPort
	lastSweep  time.Duration
	logger     *slog.Logger
}

// newWebhookReceiver opens the ledger and registers a listener for deliveries. The event loop opens the listener when
// it starts.
func newWebhookReceiver(webhookConfig *webhook.Config, cfg *config.Config, loop *eventloop.Loop, core *router.Core,
	logger *slog.Logger) (*webhookReceiver, error) {
	settings := webhookConfig.Receiver
	receiver, err := webhook.NewReceiver(webhook.Options{
		Config:          settings,
		Core:            core,
		Classes:         webhookClasses(cfg),
		MaxOutcomeBytes: cfg.ScaleToMemory(maxWebhookOutcomeBytes),
		Clock:           loop,
		WallClock:       time.Now,
		Post:            loop.Post,
		Logger:          logger,
	})
	if err != nil {
		return nil, err
	}
	loop.Listen(settings.Listen, receiver.Accept)
	logger.Info("webhooks_enabled",
		slog.String("listen", settings.Listen),
		slog.String("path", settings.Path),
		slog.String("ledger", settings.Ledger.Path))
	return &webhookReceiver{
		receiver:   receiver,
		listenAddr: addrPort(settings.Listen), // webhook.ReadConfig has checked the address
		logger:     logger,
	}, nil
}

// webhookClasses returns the classes that the webhook receiver checks deliveries against.
func webhookClasses(cfg *config.Config) []webhook.Class {
	var classes []webhook.Class
	names := cfg.ClassNames()
	for i, class := range cfg.Policy.Classes {
		classes = append(classes, webhook.Class{
			Name:                   names[i],
			NotIdempotent:          class.Idempotency != policy.Idempotent,
			RequiresIdempotencyKey: class.Idempotency == policy.IdempotentWithKey,
			MaxWait:                class.Deadline,
		})
	}
	return classes
}

// sweep removes expired outcomes, at most once per sweepInterval.
func (w *webhookReceiver) sweep(now time.Duration) {
	if now-w.lastSweep < sweepInterval {
		return
	}
	w.lastSweep = now
	w.receiver.Sweep(now)
}

// close closes the ledger, which must be written before the program exits. It blocks until the ledger is written.
func (w *webhookReceiver) close() {
	if err := w.receiver.Close(); err != nil {
		w.logger.Error("ledger_close_failed", slog.Any("err", err))
	}
}

func (w *webhookReceiver) logCounters() {
	counters := w.receiver.Counters()
	ledger := w.receiver.LedgerCounters()
	logCounterLine(w.logger,
		slog.Uint64("deliveries", counters.Deliveries),
		slog.Uint64("unauthorized", counters.Unauthorized),
		slog.Uint64("malformed", counters.Malformed),
		slog.Uint64("replayed", counters.Replayed),
		slog.Uint64("joined", counters.Joined),
		slog.Uint64("ledger_rejected", counters.LedgerRejected),
		slog.Uint64("ledger_failures", ledger.Failures),
		slog.Uint64("ledger_recoveries", ledger.Recoveries),
		slog.Uint64("ledger_unwritten", ledger.Unwritten))
}
