package policy

import (
	"testing"
	"time"
)

func TestGossipIsPaidForByRequests(t *testing.T) {
	g := &gossiper{cfg: &Config{GossipSupported: true, Routers: 4, KeepAlive: 10 * time.Second}}
	loaded := &replica{worker: &worker{Endpoint: Endpoint{Worker: 5}}}
	now := time.Hour
	g.replicaLoaded(now, loaded, &function{id: 7})
	g.replicaLoaded(now, loaded, &function{id: 7}) // not gossiped again this soon
	if len(g.pending) != gossipEntryBytes {
		t.Fatalf("%d bytes are pending", len(g.pending))
	}
	if g.requestArrived(); g.takeMessage() != nil {
		t.Error("one request allows messages to three routers")
	}
	g.requestArrived()
	message := g.takeMessage()
	if g.takeMessage() != nil {
		t.Error("an entry is sent twice")
	}
	entries := 0
	for w, f := range gossipedReplicas(append(message, 1, 2, 3)) {
		if entries++; w != 5 || f != 7 {
			t.Errorf("the entry names worker %d and function %d", w, f)
		}
	}
	if entries != 1 {
		t.Errorf("%d entries, want 1", entries)
	}
}

func TestGossipMessagesAreBounded(t *testing.T) {
	g := &gossiper{cfg: &Config{GossipSupported: true, Routers: 2}, tokens: 1}
	for f := range FunctionID(40) {
		g.replicaLoaded(time.Hour, &replica{worker: &worker{}}, &function{id: f})
	}
	message := g.takeMessage()
	if len(message) != maxGossipEntries*gossipEntryBytes || message[15] != 24 {
		t.Errorf("a message of %d bytes: % x", len(message), message)
	}
}
