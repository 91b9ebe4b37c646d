// Package signals catches the signals that a router handles, from the start of the program. SIGHUP terminates a program
// that does not catch it, so a router that received a reload request during its start would otherwise exit.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// channelCapacity is the number of signals that are queued in a channel. Further signals are dropped, because they
// would have no effect in addition to that of the first.
const channelCapacity = 1

// Signals queues the signals that were caught until they are received. Any goroutine may receive from its channels.
type Signals struct {
	// Stop delivers the signals that stop the program (SIGTERM, SIGINT). The other signals have separate channels, so
	// that repeated ones can't displace a SIGTERM.
	Stop chan os.Signal
	// Report delivers SIGUSR1, which requests a report of the counters.
	Report chan os.Signal
	// Reload delivers SIGHUP, which requests that the configuration be read again.
	Reload chan os.Signal
}

// Notify starts to catch signals. The caller must call Close or Release to stop it.
func Notify() *Signals {
	s := &Signals{
		Stop:   make(chan os.Signal, channelCapacity),
		Report: make(chan os.Signal, channelCapacity),
		Reload: make(chan os.Signal, channelCapacity),
	}
	signal.Notify(s.Stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.Report, syscall.SIGUSR1)
	signal.Notify(s.Reload, syscall.SIGHUP)
	return s
}

// IgnoreBrokenPipe makes writes to a standard output or error that nobody reads any more fail, where they would end the
// program. It is for a program that serves on without its log.
func IgnoreBrokenPipe() { signal.Ignore(syscall.SIGPIPE) }

// Close stops catching signals. Queued signals are dropped, because the work that they were meant for has completed.
func (s *Signals) Close() {
	signal.Stop(s.Stop)
	signal.Stop(s.Report)
	signal.Stop(s.Reload)
}

// Release stops catching signals and raises the queued ones again, so that their default action is taken. It is for
// commands that don't handle signals themselves.
func (s *Signals) Release() {
	s.Close()
	for {
		select {
		case caught := <-s.Stop:
			raise(caught)
		case caught := <-s.Report:
			raise(caught)
		case caught := <-s.Reload:
			raise(caught)
		default:
			return
		}
	}
}

// raise sends a signal to this process. The error is ignored, because a process may always signal itself.
func raise(caught os.Signal) {
	if number, ok := caught.(syscall.Signal); ok {
		syscall.Kill(syscall.Getpid(), number)
	}
}
