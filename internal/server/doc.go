// Package server assembles the function router and runs it. It connects the core to the fronts, the workers, discovery
// and the optional integrations, and handles signals. It makes no scheduling decisions; package policy does. The
// command line calls Serve.
//
// # Goroutines and ownership
//
// All state belongs to the goroutine that calls Run. That goroutine runs the event loop: each turn passes the events
// that have arrived to their handlers, and then calls the core, discovery and the integrations once. Two more
// goroutines exist between Run and Close. One waits for reload requests and reads files, so that a slow disk does not
// delay requests; the other waits for signals. Both change the router's state only through functions that they post to
// the event loop. Close stops them. Dials and nbio's pollers run on goroutines of package eventloop.
//
// # Start
//
// New builds the parts from the configuration. Start applies the endpoint list of the configuration, reads the routes,
// enables the integrations and opens the listeners. For an invalid file, New or Start returns an error, and the program
// exits with status 1. The router reports itself ready as soon as it knows a worker or has received a response from the
// discovery server, and after two seconds in any case, so that it accepts requests while discovery is down.
//
// # Reload
//
// On SIGHUP, the router reads the configuration and the routes file again. A reloader reads and checks both, and
// compares the routes with the current ones, on its own goroutine. It applies them in one turn of the event loop, whose
// work grows with the pools and the workers, but not with the routes. Only the discovery server's address and the
// routes change; other settings that differ are logged as config_restart_required. An invalid file changes nothing, and
// open requests complete under the routes that were in force when they started.
//
// # Graceful shutdown
//
// SIGTERM and SIGINT start a drain. The router goes on accepting requests for drainServingPeriod, because clients learn
// late that it is shutting down, and rejects requests after that. Shortly before the platform kills the process, open
// requests get their final responses and client connections are closed. The event loop stops when no client is
// connected and all notices are delivered, or when the drain's time has run out. Type lifecycle holds the states and
// their transitions, independent of sockets; Server acts on them.
//
// # Integrations
//
// Webhook deliveries, notices of completed requests and the export of flow records are off unless the operator's files
// enable them. Each has its own type with its counters, and type integrations calls those that are enabled.
//
// # What a restart loses
//
// Only the webhook ledger survives a restart. The policy's estimates, the open connections, the notices that wait for
// delivery, the counters and the names of workers that had left the endpoint list are lost. The endpoint list is
// restored from the configuration and then from discovery.
package server
