package server

import (
	"net/netip"
	"time"

	"crankhold/internal/config"
	"crankhold/internal/eventloop"
	"crankhold/internal/ipfix"
	"crankhold/internal/router"
	"crankhold/internal/webhook"
)

// idleTick is the time until the next tick if nothing is due.
const idleTick = time.Hour

// integrations holds the optional parts of the server. Each is nil if it is disabled. They belong to the event loop's
// goroutine.
type integrations struct {
	receiver *webhookReceiver
	notices  *noticeSender
	flows    *flowExport
}

// newIntegrations reads the operator's files, and connects the integrations that they enable to the event loop and the
// core.
func newIntegrations(options Options, cfg *config.Config, loop *eventloop.Loop,
	core *router.Core) (*integrations, error) {
	n := &integrations{}
	if err := n.addWebhooks(options, cfg, loop, core); err != nil {
		n.close()
		return nil, err
	}
	if err := n.addExport(options, cfg, loop); err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

// addWebhooks creates the webhook receiver and the sender of notices that the webhook file enables. Without a file name
// it does nothing.
func (n *integrations) addWebhooks(options Options, cfg *config.Config, loop *eventloop.Loop, core *router.Core) error {
	if options.WebhookFile == "" {
		return nil
	}
	webhookConfig, err := webhook.ReadConfig(options.WebhookFile)
	if err != nil {
		return err
	}
	if webhookConfig.Receiver.Enabled {
		if n.receiver, err = newWebhookReceiver(webhookConfig, cfg, loop, core, options.Logger); err != nil {
			return err
		}
	}
	if webhookConfig.Sender.Enabled {
		n.notices, err = newNoticeSender(webhookConfig.Sender, cfg, loop, options.Logger)
	}
	return err
}

// addExport creates the export of flow records if the export file enables it. Without a file name it does nothing.
func (n *integrations) addExport(options Options, cfg *config.Config, loop *eventloop.Loop) error {
	if options.ExportFile == "" {
		return nil
	}
	exportConfig, err := ipfix.ReadConfig(options.ExportFile)
	if err != nil || !exportConfig.Enabled {
		return err
	}
	n.flows = newFlowExport(exportConfig, cfg, loop, options.Logger)
	if n.receiver != nil {
		n.flows.listenAddrs[router.Webhook] = n.receiver.listenAddr
	}
	return nil
}

// requestCompleted passes a completed request to the sender of notices and to the export of flow records.
func (n *integrations) requestCompleted(now time.Duration, r *router.Request, completion router.Completion) {
	if n.notices != nil {
		n.notices.requestCompleted(now, r, completion)
	}
	if n.flows != nil {
		n.flows.requestCompleted(now, r)
	}
}

// tick sends the notices and flow records that are due, and returns the latest time at which it must be called again.
func (n *integrations) tick(now time.Duration) time.Duration {
	next := now + idleTick
	if n.notices != nil {
		next = min(next, n.notices.sender.Tick(now))
	}
	if n.flows != nil {
		next = min(next, n.flows.exporter.Tick(now))
	}
	return next
}

// sweep removes webhook outcomes that have expired.
func (n *integrations) sweep(now time.Duration) {
	if n.receiver != nil {
		n.receiver.sweep(now)
	}
}

// pendingNotices returns how many notices wait to be delivered.
func (n *integrations) pendingNotices() int {
	if n.notices == nil {
		return 0
	}
	return n.notices.sender.Pending()
}

// close closes the webhook ledger, which must be written before the program exits.
func (n *integrations) close() {
	if n.receiver != nil {
		n.receiver.close()
	}
}

// logCounters logs one line of counters for each enabled integration.
func (n *integrations) logCounters() {
	if n.receiver != nil {
		n.receiver.logCounters()
	}
	if n.notices != nil {
		n.notices.logCounters()
	}
	if n.flows != nil {
		n.flows.logCounters()
	}
}

// addrPort parses an address that has already been checked.
func addrPort(checked string) netip.AddrPort {
	addr, _ := netip.ParseAddrPort(checked)
	return addr
}
