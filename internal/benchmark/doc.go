// Package benchmark measures the router against fakes on loopback. Each experiment is a sub-command of cmd/benchmark:
// it starts the built program as the platform would, sends it requests, and checks what the fakes recorded against the
// rules. The last line of an experiment's output consists of key=value figures. An experiment fails if a figure does
// not meet its requirement.
//
// The package may import the fakes and the packages whose cost it measures. Only cmd/benchmark imports it.
package benchmark
