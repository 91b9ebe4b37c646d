// Package simulator translates between the simulator's frames and the types of package policy. It only translates:
// every decision is taken by package policy.
//
// The simulator sends batches of records, each an event for one of the routers that the program hosts. Each batch is
// answered by one frame with the actions of all its records. Numbers are big-endian; times are milliseconds as IEEE 754
// floating-point numbers, most of them of 8 bytes.
package simulator
