// Package simulator translates between the simulator's frames and the types of package policy. It only translates:
// every decision is taken by package policy.
//
// The simulator sends batches of records, each an event for one of the routers that the program hosts. Each batch is
// answered by one frame with the actions of all its records. Numbers are big-endian; times are milliseconds as IEEE 754
// floating-point numbers, most of them of 8 bytes.
//
// ReadBatch decodes a batch (frame.go, events.go), Reply encodes the answer to it (reply.go), and ParseSettings decodes
// the settings of an instance. Package config reads the same settings by ParseSettings. Values may be used by one
// goroutine at a time.
package simulator
