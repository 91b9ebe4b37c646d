package server

import (
	"bytes"
	"log/slog"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"crankhold/internal/config"
	"crankhold/internal/eventloop"
	"crankhold/internal/ipfix"
	"crankhold/internal/logging"
	"crankhold/internal/notice"
	"crankhold/internal/router"
	"crankhold/policy"
)

// twoClassConfig returns a configuration with one class that is idempotent and one that is not.
func twoClassConfig() *config.Config {
	cfg := &config.Config{Listen: "127.0.0.1:10080"}
	cfg.Policy.Classes = []policy.Class{{Idempotency: policy.Idempotent}, {Idempotency: policy.NotIdempotent}}
	cfg.Network.Classes = make([]config.NamedEntry, 2)
	return cfg
}

// Disabled integrations need no tick, don't delay a shutdown and log no counters.
func TestDisabledIntegrationsDoNothing(t *testing.T) {
	n, err := newIntegrations(Options{}, twoClassConfig(), eventloop.New(eventloop.Config{}), nil)
	if err != nil {
		t.Fatal(err)
	}
	n.requestCompleted(time.Second, &router.Request{}, router.CompletionServed)
	n.sweep(time.Second)
	n.logCounters()
	n.close()
	if next := n.tick(time.Second); next != time.Second+idleTick || n.pendingNotices() != 0 {
		t.Errorf("the next tick is due at %v, %d notices are pending", next, n.pendingNotices())
	}
}

// A notice is sent of a request that is not idempotent, and of no other. The counters go to the logger of the options.
func TestNoticesAreSentOnlyOfRequestsThatAreNotIdempotent(t *testing.T) {
	settings := notice.Config{
		URL:   "http://hooks.example.org/notices",
		Queue: 2,
		Key:   filepath.Join(t.TempDir(), "key"),
	}
	writeText(t, settings.Key, "whsec_"+strings.Repeat("aaaa", 16)+"\n")
	var log bytes.Buffer
	notices, err := newNoticeSender(settings, twoClassConfig(), eventloop.New(eventloop.Config{}), logging.New(&log, slog.LevelInfo))
	if err != nil {
		t.Fatal(err)
	}
	for class, want := range []uint64{0, 1} {
		notices.requestCompleted(time.Second, &router.Request{Class: class}, router.CompletionServed)
		if queued := notices.sender.Counters().Queued; queued != want {
			t.Errorf("%d notices after a request of class %d, want %d", queued, class, want)
		}
	}
	notices.logCounters()
	if line := "event=counters_reported notices_queued=1 "; !strings.Contains(log.String(), line) {
		t.Errorf("the log has no %q: %s", line, log.String())
	}
}

// Each completed request is counted as a flow record. Flow records contain the address of the front that received the
// request.
func TestEachCompletedRequestIsExportedAsAFlow(t *testing.T) {
	var log bytes.Buffer
	flows := newFlowExport(&ipfix.Config{Collector: "127.0.0.1:4739"}, twoClassConfig(), eventloop.New(eventloop.Config{}),
		logging.New(&log, slog.LevelInfo))
	if want := netip.MustParseAddrPort("127.0.0.1:10080"); flows.listenAddrs[router.Thrift] != want {
		t.Errorf("the Thrift front listens on %v, want %v", flows.listenAddrs[router.Thrift], want)
	}
	for class := range 2 {
		flows.requestCompleted(time.Second, &router.Request{Class: class, Client: router.Client{Address: netip.MustParseAddrPort("127.0.0.1:5000")}})
	}
	flows.logCounters()
	for _, line := range []string{"event=export_enabled collector=127.0.0.1:4739", "event=counters_reported flow_records=2 "} {
		if !strings.Contains(log.String(), line) {
			t.Errorf("the log has no %q: %s", line, log.String())
		}
	}
}
