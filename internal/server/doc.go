// Package server assembles the function router and runs it: the core between its fronts, the connections to the
// workers, discovery, the optional integrations, and the reactions to signals. It makes no scheduling decision; those
// are in package policy. The command line calls Serve.
//
// # Goroutines and ownership
//
// All state belongs to the goroutine that calls Run: it runs the event loop, and each turn hands what has arrived to
// the handlers and then calls the core, discovery and the integrations once. Two more goroutines exist between Run and
// Close. One waits for reload requests and reads files, so that a slow disk does not hold up requests; the other waits
// for signals. Both touch the router's state only through functions that they post to the event loop. Close ends them.
// Dials and nbio's pollers are goroutines of package eventloop.
//
// # Start
//
// New builds the parts from the configuration. Start applies the endpoint list of the configuration, reads the routes,
// turns the integrations on and opens the listeners. A file that can't be used is an error of New or Start, and the
// program ends with exit status 1. The router reports itself ready as soon as it knows a worker or has a response of
// the discovery server, and in any case after two seconds, so that it accepts requests while discovery is down.
//
// # Reload
//
// SIGHUP rereads the configuration and the routes file. A reloader reads and checks both on a goroutine of its own and
// applies them in one turn of the event loop. Only the discovery server's address and the routes change; other settings
// that differ are logged as config_restart_required. A file that can't be used changes nothing, and open requests end
// under the routes that they began with.
//
// # Graceful shutdown
//
// SIGTERM and SIGINT begin a drain. Requests are accepted for drainServingPeriod more, because clients learn late that
// the router is leaving, and are rejected after that. Shortly before the platform kills the process, open requests get
// their final responses and clients' connections are closed. The loop stops once no client is connected and all notices
// are delivered, or when the schedule's time is over. The states and their transitions are those of lifecycle, which
// knows no sockets; Server acts on them.
//
// # Integrations
//
// Webhook deliveries, notices of completed requests and the export of flows are off unless the operators' files turn
// them on. Each has a type of its own with its counters, and integrations calls those that are on.
//
// # What a restart loses
//
// Nothing but the webhooks' ledger outlives the process. A restart forgets the policy's estimates, the open
// connections, the notices that wait for delivery, the counters, and which names of workers had left the endpoint list.
// The endpoint list itself is restored from the configuration and then from discovery.
package server
