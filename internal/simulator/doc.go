// Package simulator translates between the simulator's frames and the types of package policy. It only translates:
// package policy makes all decisions.
//
// The simulator sends batches of records. Each record is an event for one of the router instances that the program
// hosts. The program responds to each batch with one frame that holds the actions of all its records. Numbers are
// big-endian; times are milliseconds as IEEE 754 floating-point numbers, most of them of 8 bytes.
//
// ReadBatch decodes a batch (frame.go, events.go), Reply encodes the response to it (reply.go), and ParseSettings
// decodes the settings of an instance. Package config also uses ParseSettings, because a router's configuration
// contains the same settings. Values of this package may be used by one goroutine at a time.
package simulator
