// Package fake holds stand-ins for what a function router talks to, on loopback sockets and in real time:
// workers, a directory, and clients, written from the platform's protocol. They keep a record of what really
// happened, which is what claims about the router are checked against.
//
// It imports the standard library alone and nothing of the router. The demo, the lab, the example and tests
// call it; the router never does.
package fake
