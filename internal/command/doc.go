// Package command implements the program's command line, with one file for each command: serve.go, check.go, format.go,
// diff.go, explain.go, demo.go and version.go. A command parses its arguments, calls the packages that do the work, and
// prints the result.
//
// The exit status is 0 for success, 1 for a finding (faults, differences, a rejected request, a server that failed),
// and 2 for invalid arguments and for files that a command can't read or can't use; see exit.go. Only cmd/crankhold
// imports this package.
package command
