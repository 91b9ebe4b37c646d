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

// idleTick is the time until the next tick where nothing is due.
const idleTick = time.Hour

// integrations are the optional parts beside the platform's own front. Each is nil where it is off. They belong to the
// event loop's goroutine.
type integrations struct {
	receiver *webhookReceiver
	notices  *noticeSender
	flows    *flowExport
}

// newIntegrations reads the operators' files, and connects what they turn on to the event loop and the core.
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

// addWebhooks turns on what the webhook file configures; an empty name turns nothing on.
func (n *integrations) addWebhooks(options Options, cfg *config.Config, loop *eventloop.Loop, core *router.Core) error {
	if options.Webhook == "" {
		return nil
	}
	hooks, err := webhook.ReadConfig(options.Webhook)
	if err != nil {
		return err
	}
	if hooks.Receiver.Enabled {
		if n.receiver, err = newWebhookReceiver(hooks, cfg, loop, core, options.Logger); err != nil {
			return err
		}
	}
	if hooks.Sender.Enabled {
		n.notices, err = newNoticeSender(hooks.Sender, cfg, loop, options.Logger)
	}
	return err
}

// addExport turns the export of flows on if the export file does; an empty name does not.
func (n *integrations) addExport(options Options, cfg *config.Config, loop *eventloop.Loop) error {
	if options.Export == "" {
		return nil
	}
	export, err := ipfix.ReadConfig(options.Export)
	if err != nil || !export.Enabled {
		return err
	}
	n.flows = newFlowExport(export, cfg, loop, options.Logger)
	if n.receiver != nil {
		n.flows.listenAddrs[router.Webhook] = n.receiver.listenAddr
	}
	return nil
}

// requestCompleted sends a notice of what must not run twice, and exports a flow.
func (n *integrations) requestCompleted(now time.Duration, r *router.Request, completion router.Completion) {
	if n.notices != nil {
		n.notices.requestCompleted(now, r, completion)
	}
	if n.flows != nil {
		n.flows.requestCompleted(now, r)
	}
}

// tick sends the notices and flows that are due, and returns when it wants to be called again at the latest.
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

// close closes the webhooks' ledger, which must be written before the program ends.
func (n *integrations) close() {
	if n.receiver != nil {
		n.receiver.close()
	}
}

// logCounters logs one line of counters for each integration that is on.
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

// addrPort returns an address that has been checked before.
func addrPort(checked string) netip.AddrPort {
	addr, _ := netip.ParseAddrPort(checked)
	return addr
}
