// Package benchmark measures the router on loopback fakes. Each experiment is a sub-command of cmd/benchmark: it starts
// the built program as the platform would, sends it requests, and checks what the fakes recorded against the rules. The
// last line that an experiment writes is of key=value figures; it fails where one that must hold does not.
//
// The package may import the fakes and the packages whose cost it measures; cmd/benchmark alone uses it.
package benchmark
