package main

import (
	"errors"
	"io/fs"
	"log"
	"net/netip"
	"os"
	"time"

	"crankhold/internal/ipfix"
	"crankhold/internal/loop"
	"crankhold/internal/router"
	"crankhold/internal/webhook"
	"crankhold/policy"
)

// The files that turn on what the platform does not want; the variables name others.
const (
	webhookFile, webhookVariable = "deploy/webhook.toml", "CRANKHOLD_WEBHOOK"
	exportFile, exportVariable   = "deploy/ipfix.toml", "CRANKHOLD_IPFIX"
)

// hooks is what goes beside the platform's front: a receiver of signed calls, a sender of signed
// notices and an exporter of flows. Each may be off.
type hooks struct {
	receiver *webhook.Receiver
	sender   *webhook.Sender
	exporter *ipfix.Exporter
	servers  [2]netip.AddrPort // where each front listens
}

// chosen returns the file to read, or none where there is no such file and none was asked for.
func chosen(variable, file string) string {
	if path := os.Getenv(variable); path != "" {
		return path
	}
	if _, err := os.Stat(file); errors.Is(err, fs.ErrNotExist) {
		return ""
	}
	return file
}

// newHooks reads the files and joins what they turn on to the loop and the core.
func newHooks(c *config, lp *loop.Loop, core *router.Core) (*hooks, error) {
	h := &hooks{}
	h.servers[router.Thrift], _ = netip.ParseAddrPort(c.Listen) // checked when it was read
	if path := chosen(webhookVariable, webhookFile); path != "" {
		if err := h.addWebhooks(path, c, lp, core); err != nil {
			return nil, err
		}
	}
	if path := chosen(exportVariable, exportFile); path != "" {
		cfg, err := ipfix.ReadConfig(path)
		if err != nil {
			return nil, err
		}
		if cfg.Enabled {
			h.exporter = ipfix.New(cfg, time.Now, func(d loop.Dialled) ipfix.Line {
				return lp.Dial("udp", cfg.Collector, time.Second, d)
			})
			log.Printf("event=export_on collector=%s", cfg.Collector)
		}
	}
	core.Observe = func(now time.Duration, r *router.Request, end string) {
		if h.sender != nil && c.module.Classes[r.Class].Repeat == policy.Unsafe {
			h.sender.Notify(now, r, end)
		}
		if h.exporter != nil {
			wall := time.Now()
			h.exporter.Add(ipfix.Flow{Client: r.Client, Server: h.servers[r.Front], Start: wall.Add(r.Taken - now), End: wall,
				Octets: uint64(len(r.Body)), Class: c.network.Classes[r.Class].Name})
		}
	}
	return h, nil
}

// addWebhooks turns on what the webhook file says.
func (h *hooks) addWebhooks(path string, c *config, lp *loop.Loop, core *router.Core) error {
	cfg, err := webhook.ReadConfig(path)
	if err != nil {
		return err
	}
	if cfg.Receiver.Enabled {
		var classes []webhook.Class
		for i, k := range c.module.Classes {
			classes = append(classes, webhook.Class{Name: c.network.Classes[i].Name, Once: k.Repeat != policy.Safe, Longest: k.Deadline})
		}
		if h.receiver, err = webhook.NewReceiver(cfg, core, classes, c.share(16<<20), lp.Now, time.Now, lp.Post); err != nil {
			return err
		}
		h.servers[router.Webhook], _ = netip.ParseAddrPort(cfg.Receiver.Listen) // so was this
		lp.Listen(cfg.Receiver.Listen, h.receiver.Accept)
		log.Printf("event=webhooks_on listen=%s path=%s ledger=%q", cfg.Receiver.Listen, cfg.Receiver.Path, cfg.Receiver.Ledger.Path)
	}
	if cfg.Sender.Enabled {
		h.sender, err = webhook.NewSender(cfg, time.Now, func(addr string, timeout time.Duration, d loop.Dialled) webhook.Line {
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
		next = min(next, h.sender.Turn(now))
	}
	if h.exporter != nil {
		next = min(next, h.exporter.Turn(now))
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
	return h.sender.Open()
}

// close ends what must be written before the program ends.
func (h *hooks) close() {
	if h.receiver != nil {
		if err := h.receiver.Close(); err != nil {
			log.Printf("event=ledger_not_closed err=%q", err)
		}
	}
}

// print logs the counters of what is on.
func (h *hooks) print() {
	if r := h.receiver; r != nil {
		log.Printf("event=counters deliveries=%d unauthorized=%d malformed=%d replayed=%d joined=%d ledger_refused=%d",
			r.Count.Deliveries, r.Count.Unauthorized, r.Count.Malformed, r.Count.Replayed, r.Count.Joined, r.Count.LedgerRefused)
	}
	if s := h.sender; s != nil {
		n := s.Sent
		log.Printf("event=counters notices_queued=%d dropped=%d delivered=%d retried=%d given_up=%d open=%d",
			n.Queued, n.Dropped, n.Delivered, n.Retried, n.GivenUp, h.open())
	}
	if x := h.exporter; x != nil {
		log.Printf("event=counters flow_records=%d sent=%d dropped=%d messages=%d", x.Count.Records, x.Count.Sent, x.Count.Dropped, x.Count.Messages)
	}
}
