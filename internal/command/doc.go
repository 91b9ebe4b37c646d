// Package command is the program's command line: a file for each command (serve.go, check.go, format.go, diff.go,
// explain.go, demo.go, version.go). It parses arguments, calls the packages that do the work, and prints.
//
// Exit statuses are 0 for success, 1 for a finding (faults, differences, a rejected request, a service that could not
// continue) and 2 for what could not be understood or read at all; see exit.go. Only cmd/crankhold calls the package.
package command
