package server

import (
	"log/slog"
	"net/netip"
	"time"

	"crankhold/internal/config"
	"crankhold/internal/eventloop"
	"crankhold/internal/ipfix"
	"crankhold/internal/router"
	"crankhold/internal/webhook"
	"crankhold/policy"
)

// hooks is what goes beside the platform's front: a receiver of signed calls, a sender of signed
// notices and an exporter of flows. Each may be off.
type hooks struct {
	receiver *webhook.Receiver
	sender   *webhook.Sender
	exporter *ipfix.Exporter
	servers  [2]netip.AddrPort // where each front listens
}

// newHooks reads the files and joins what they turn on to the loop and the core.
func newHooks(opts Options, c *config.Config, lp *eventloop.Loop, core *router.Core) (*hooks, error) {
	h := &hooks{}
	h.servers[router.Thrift], _ = netip.ParseAddrPort(c.Listen) // checked when it was read
	if path := opts.Webhook; path != "" {
		if err := h.addWebhooks(path, c, lp, core); err != nil {
			return nil, err
		}
	}
	if path := opts.Export; path != "" {
		cfg, err := ipfix.ReadConfig(path)
		if err != nil {
			return nil, err
		}
		if cfg.Enabled {
			h.exporter = ipfix.New(cfg, time.Now, func(d eventloop.DialHandler) ipfix.Transport {
				return lp.Dial("udp", cfg.Collector, time.Second, d)
			})
			slog.Info("export_enabled", "collector", cfg.Collector)
		}
	}
	core.OnCompleted = func(now time.Duration, r *router.Request, end router.Completion) {
		if h.sender != nil && c.Policy.Classes[r.Class].Idempotency == policy.NotIdempotent {
			h.sender.Notify(now, r, end)
		}
		if h.exporter != nil {
			wall := time.Now()
			h.exporter.Add(ipfix.Flow{Client: r.Client, Server: h.servers[r.Front], Start: wall.Add(r.AcceptedAt - now), End: wall,
				Octets: uint64(len(r.Body)), Class: c.Network.Classes[r.Class].Name})
		}
	}
	return h, nil
}

// addWebhooks turns on what the webhook file says.
func (h *hooks) addWebhooks(path string, c *config.Config, lp *eventloop.Loop, core *router.Core) error {
	cfg, err := webhook.ReadConfig(path)
	if err != nil {
		return err
	}
	if cfg.Receiver.Enabled {
		var classes []webhook.Class
		for i, k := range c.Policy.Classes {
			classes = append(classes, webhook.Class{Name: c.Network.Classes[i].Name, NotIdempotent: k.Idempotency != policy.Idempotent, RequiresIdempotencyKey: k.Idempotency == policy.IdempotentWithKey, MaxWait: k.Deadline})
		}
		if h.receiver, err = webhook.NewReceiver(cfg, core, classes, c.ScaleToMemory(16<<20), lp.Now, time.Now, lp.Post); err != nil {
			return err
		}
		h.servers[router.Webhook], _ = netip.ParseAddrPort(cfg.Receiver.Listen) // so was this
		lp.Listen(cfg.Receiver.Listen, h.receiver.Accept)
		slog.Info("webhooks_enabled", "listen", cfg.Receiver.Listen, "path", cfg.Receiver.Path, "ledger", cfg.Receiver.Ledger.Path)
	}
	if cfg.Sender.Enabled {
		h.sender, err = webhook.NewSender(cfg, time.Now, func(addr string, timeout time.Duration, d eventloop.DialHandler) webhook.Transport {
			return lp.Dial("tcp", addr, timeout, d)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// turn sends what notices and flow records are due.
func (h *hooks) turn(now time.Duration) time.Duration {
	next := now + time.Hour
	if h.sender != nil {
		next = min(next, h.sender.Tick(now))
	}
	if h.exporter != nil {
		next = min(next, h.exporter.Tick(now))
	}
	return next
}

// sweep forgets old outcomes.
func (h *hooks) sweep(now time.Duration) {
	if h.receiver != nil {
		h.receiver.Sweep(now)
	}
}

// open is how many notices wait to be delivered.
func (h *hooks) open() int {
	if h.sender == nil {
		return 0
	}
	return h.sender.Pending()
}

// close ends what must be written before the program ends.
func (h *hooks) close() {
	if h.receiver != nil {
		if err := h.receiver.Close(); err != nil {
			slog.Error("ledger_close_failed", "err", err)
		}
	}
}

// print logs the counters of what is on.
func (h *hooks) print() {
	if r := h.receiver; r != nil {
		slog.Info("counters_reported", "deliveries", r.Counters.Deliveries, "unauthorized", r.Counters.Unauthorized, "malformed", r.Counters.Malformed, "replayed", r.Counters.Replayed, "joined", r.Counters.Joined, "ledger_refused", r.Counters.LedgerRefused)
	}
	if s := h.sender; s != nil {
		n := s.Counters
		slog.Info("counters_reported", "notices_queued", n.Queued, "dropped", n.Dropped, "delivered", n.Delivered, "retried", n.Retried, "given_up", n.GivenUp, "open", h.open())
	}
	if x := h.exporter; x != nil {
		slog.Info("counters_reported", "flow_records", x.Counters.Records, "sent", x.Counters.Sent, "dropped", x.Counters.Dropped, "messages", x.Counters.Messages)
	}
}
