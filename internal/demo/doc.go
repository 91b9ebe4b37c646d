// Package demo runs a whole installation in one process for a newcomer to look at: a discovery server, three fake
// workers, a router, and a client that sends a few requests. Every fifteen seconds a worker is killed, and started
// again five seconds later. The package imports the server and the fakes; the command line calls it.
package demo
