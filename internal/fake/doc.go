// Package fake provides what a function router talks to, on loopback sockets and in real time: workers, a discovery
// server, and clients, written from the platform's protocols. The fakes record what really happened, so that claims
// about the router can be checked against it.
//
// A [Site] is a discovery server with its workers; a [Testbed] adds the folder, address and configuration file by which
// a router is started in front of them. Addresses of a worker are made to fail with [Port.Set], whole workers with
// [Worker.Kill].
//
// The package imports the standard library alone and nothing of the router. The demo, the benchmarks, the example and
// tests use it; the router never does.
package fake
