package server

import (
	"log/slog"
	"net/netip"
	"time"

	"crankhold/internal/config"
	"crankhold/internal/eventloop"
	"crankhold/internal/ipfix"
	"crankhold/internal/notice"
	"crankhold/internal/router"
	"crankhold/internal/webhook"
	"crankhold/policy"
)

const (
	collectorDialTimeout = time.Second

	// idleTick is the time until the next tick where nothing is due.
	idleTick = time.Hour
)

// integrations are the optional parts beside the platform's own front. Each is nil where it is off.
type integrations struct {
	receiver *webhook.Receiver
	sender   *notice.Sender
	exporter *ipfix.Exporter

	config *config.Config
	// listenAddrs are the addresses that the fronts listen on, by router.Front, for exported flows.
	listenAddrs [2]netip.AddrPort
}

// newIntegrations reads the operators' files, connects what they turn on to the event loop and the core, and registers
// for completed requests.
func newIntegrations(options Options, cfg *config.Config, loop *eventloop.Loop, core *router.Core) (*integrations, error) {
	n := &integrations{config: cfg}
	n.listenAddrs[router.Thrift], _ = netip.ParseAddrPort(cfg.Listen) // config.Read has checked it
	if err := n.addWebhooks(options.Webhook, loop, core); err != nil {
		n.close()
		return nil, err
	}
	if err := n.addExport(options.Export, loop); err != nil {
		n.close()
		return nil, err
	}
	core.OnCompleted = n.requestCompleted
	return n, nil
}

// addWebhooks turns on what the webhook file configures; an empty name turns nothing on.
func (n *integrations) addWebhooks(file string, loop *eventloop.Loop, core *router.Core) error {
	if file == "" {
		return nil
	}
	cfg, err := webhook.ReadConfig(file)
	if err != nil {
		return err
	}
	if cfg.Receiver.Enabled {
		if err := n.addReceiver(cfg, loop, core); err != nil {
			return err
		}
	}
	if cfg.Sender.Enabled {
		return n.addSender(cfg, loop)
	}
	return nil
}

func (n *integrations) addReceiver(cfg *webhook.Config, loop *eventloop.Loop, core *router.Core) error {
	receiver, err := webhook.NewReceiver(webhook.Options{
		Config:          cfg.Receiver,
		Core:            core,
		Classes:         webhookClasses(n.config),
		MaxOutcomeBytes: n.config.ScaleToMemory(maxWebhookOutcomeBytes),
		Clock:           loop,
		WallClock:       time.Now,
		Post:            loop.Post,
	})
	if err != nil {
		return err
	}
	n.receiver = receiver
	n.listenAddrs[router.Webhook], _ = netip.ParseAddrPort(cfg.Receiver.Listen) // webhook.ReadConfig has checked it
	loop.Listen(cfg.Receiver.Listen, receiver.Accept)
	slog.Info("webhooks_enabled", slog.String("listen", cfg.Receiver.Listen), slog.String("path", cfg.Receiver.Path),
		slog.String("ledger", cfg.Receiver.Ledger.Path))
	return nil
}

func (n *integrations) addSender(cfg *webhook.Config, loop *eventloop.Loop) error {
	dial := func(addr string, timeout time.Duration, handler eventloop.DialHandler) notice.Transport {
		return loop.Dial("tcp", addr, timeout, handler)
	}
	sender, err := notice.NewSender(notice.Options{Config: cfg.Sender, WallClock: time.Now, Dial: dial})
	if err != nil {
		return err
	}
	n.sender = sender
	return nil
}

// webhookClasses returns what the webhook receiver checks deliveries against.
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

// addExport turns the export of flows on if the export file does; an empty name does not.
func (n *integrations) addExport(file string, loop *eventloop.Loop) error {
	if file == "" {
		return nil
	}
	cfg, err := ipfix.ReadConfig(file)
	if err != nil || !cfg.Enabled {
		return err
	}
	n.exporter = ipfix.New(ipfix.ExporterConfig{
		Domain:    cfg.Domain,
		WallClock: time.Now,
		Dial: func(handler eventloop.DialHandler) ipfix.Transport {
			return loop.Dial("udp", cfg.Collector, collectorDialTimeout, handler)
		},
	})
	slog.Info("export_enabled", slog.String("collector", cfg.Collector))
	return nil
}

// requestCompleted sends a notice of what must not run twice, and exports a flow.
func (n *integrations) requestCompleted(now time.Duration, r *router.Request, end router.Completion) {
	if n.sender != nil && n.config.Policy.Classes[r.Class].Idempotency == policy.NotIdempotent {
		n.sender.Notify(now, r, end)
	}
	if n.exporter != nil {
		n.exporter.Add(n.flowOf(now, r))
	}
}

// flowOf returns the exported flow of a request that completed now. Flows carry wall clock times.
func (n *integrations) flowOf(now time.Duration, r *router.Request) ipfix.Flow {
	wall := time.Now()
	return ipfix.Flow{
		Client: r.Client,
		Server: n.listenAddrs[r.Front],
		Start:  wall.Add(r.AcceptedAt - now),
		End:    wall,
		Octets: uint64(len(r.Body)),
		Class:  n.config.Network.Classes[r.Class].Name,
	}
}

// tick sends the notices and flows that are due, and returns when it wants to be called again at the latest.
func (n *integrations) tick(now time.Duration) time.Duration {
	next := now + idleTick
	if n.sender != nil {
		next = min(next, n.sender.Tick(now))
	}
	if n.exporter != nil {
		next = min(next, n.exporter.Tick(now))
	}
	return next
}

// sweep removes webhook outcomes that have expired.
func (n *integrations) sweep(now time.Duration) {
	if n.receiver != nil {
		n.receiver.Sweep(now)
	}
}

// pendingNotices returns how many notices wait to be delivered.
func (n *integrations) pendingNotices() int {
	if n.sender == nil {
		return 0
	}
	return n.sender.Pending()
}

// close closes the webhooks' ledger, which must be written before the program ends.
func (n *integrations) close() {
	if n.receiver == nil {
		return
	}
	if err := n.receiver.Close(); err != nil {
		slog.Error("ledger_close_failed", slog.Any("err", err))
	}
}

// logCounters logs one line of counters for each integration that is on.
func (n *integrations) logCounters() {
	if n.receiver != nil {
		counters, ledger := n.receiver.Counters(), n.receiver.LedgerCounters()
		logCounterLine(
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
	if n.sender != nil {
		counters := n.sender.Counters()
		logCounterLine(
			slog.Uint64("notices_queued", counters.Queued),
			slog.Uint64("dropped", counters.Dropped),
			slog.Uint64("delivered", counters.Delivered),
			slog.Uint64("retried", counters.Retried),
			slog.Uint64("abandoned", counters.Abandoned),
			slog.Int("open", n.pendingNotices()))
	}
	if n.exporter != nil {
		counters := n.exporter.Counters
		logCounterLine(
			slog.Uint64("flow_records", counters.Records),
			slog.Uint64("sent", counters.Sent),
			slog.Uint64("dropped", counters.Dropped),
			slog.Uint64("messages", counters.Messages))
	}
}
