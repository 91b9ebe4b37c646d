// Package fake provides the systems that a function router communicates with, on loopback sockets and in real time:
// workers, a discovery server, and clients. They implement the platform's protocols. Workers report every event, so
// that the behavior of the router can be checked against what the workers received.
//
// A [Site] is a discovery server with its workers. A [Testbed] adds the folder, the address and the configuration file
// that are needed to start a router in front of them. [Port.SetMode] makes a single address of a worker fail, and
// [Worker.Kill] a whole worker.
//
// The package imports only the standard library and nothing of the router. The demo, the benchmarks, the example and
// tests use it; the router does not.
package fake
