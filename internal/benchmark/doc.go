// Package benchmark measures the router on loopback stand-ins: each experiment is a sub-command of cmd/benchmark. It starts
// the built program as the platform would, loads it, and holds what the stand-ins recorded against the rules.
// The last line it writes is of key=value figures; an experiment fails where one that must hold does not.
//
// It may import the stand-ins (package fleet) and the packages whose cost it measures; cmd/benchmark alone calls it.
package benchmark
