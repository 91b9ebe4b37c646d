// Package route decides by which route a call goes, to which pool of workers, and under which terms. It
// compiles what a configuration says into a Table, keeps the state of the pools (attempts in flight, what
// spilled, load orders), and tells how two tables differ in behaviour.
//
// It is free of I/O, clock and wire and imports package policy alone: that module still decides which
// worker takes a call, when to try again and what to turn away, and asks a call's Pool what it may choose
// from. The router's core looks calls up; package lang makes Specs out of files.
package route
