// Package demo runs a complete installation in one process, so that a newcomer can try the router: a discovery server,
// three fake workers, a router, and a client that sends requests. Every fifteen seconds a worker is killed, and it is
// restarted five seconds later. The package imports the server and the fakes; the command line calls it.
package demo
