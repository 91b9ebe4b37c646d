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

// flowExport exports a flow for each completed request. It belongs to the event loop's goroutine.
type flowExport struct {
	exporter *ipfix.Exporter
	config   *config.Config
	// listenAddrs are the addresses that the fronts listen on, by router.Front.
	listenAddrs [2]netip.AddrPort
	logger      *slog.Logger
}

// newFlowExport returns an export whose listenAddrs has the address of the Thrift front alone.
func newFlowExport(export *ipfix.Config, cfg *config.Config, loop *eventloop.Loop, logger *slog.Logger) *flowExport {
	exporter := ipfix.New(ipfix.ExporterConfig{
		Domain:    export.Domain,
		WallClock: time.Now,
		Dial: func(handler eventloop.DialHandler) ipfix.Transport {
			return loop.Dial("udp", export.Collector, collectorDialTimeout, handler)
		},
		Logger: logger,
	})
	f := &flowExport{exporter: exporter, config: cfg, logger: logger}
	f.listenAddrs[router.Thrift] = addrPort(cfg.Listen) // config.Read has checked it
	logger.Info("export_enabled", slog.String("collector", export.Collector))
	return f
}

// requestCompleted queues the flow of a request that completed now. Flows carry wall clock times.
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
