package server

import (
	"log/slog"
	"net/netip"
	"time"

	"crankhold/internal/config"
	"crankhold/internal/eventloop"
	"crankhold/internal/ipfix"
	"crankhold/internal/router"
)

const collectorDialTimeout = time.Second

// flowExport exports a flow record for each completed request. It belongs to the event loop's goroutine.
type flowExport struct {
	exporter *ipfix.Exporter
	config   *config.Config
	// listenAddrs holds the address that each front listens on, indexed by router.Front.
	listenAddrs [2]netip.AddrPort
	logger      *slog.Logger
}

// newFlowExport returns a flowExport. It sets the address of the Thrift front only; the caller sets that of the webhook
// front.
func newFlowExport(exportConfig *ipfix.Config, cfg *config.Config, loop *eventloop.Loop,
	logger *slog.Logger) *flowExport {
	exporter := ipfix.New(ipfix.ExporterConfig{
		Domain:    exportConfig.Domain,
		WallClock: time.Now,
		Dial: func(handler eventloop.DialHandler) ipfix.Transport {
			return loop.Dial("udp", exportConfig.Collector, collectorDialTimeout, handler)
		},
		Logger: logger,
	})
	f := &flowExport{exporter: exporter, config: cfg, logger: logger}
	f.listenAddrs[router.Thrift] = addrPort(cfg.Listen) // config.Read has checked the address
	logger.Info("export_enabled", slog.String("collector", exportConfig.Collector))
	return f
}

// requestCompleted queues the flow record of a request that completed at the time now. Flow records carry wall clock
// times.
func (f *flowExport) requestCompleted(now time.Duration, r *router.Request) {
	wall := time.Now()
	f.exporter.Add(ipfix.Flow{
		Client: r.Client.Address,
		Server: f.listenAddrs[r.Front],
		Start:  wall.Add(r.AcceptedAt - now),
		End:    wall,
		Octets: uint64(len(r.Body)),
		Class:  f.config.Network.Classes[r.Class].Name,
	})
}

func (f *flowExport) logCounters() {
	counters := f.exporter.Counters
	logCounterLine(f.logger,
		slog.Uint64("flow_records", counters.Records),
		slog.Uint64("sent", counters.Sent),
		slog.Uint64("dropped", counters.Dropped),
		slog.Uint64("messages", counters.Messages))
}
