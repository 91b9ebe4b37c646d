// Package signals catches the signals that a router reacts to, from the program's first moment on. Until a program
// catches SIGHUP the signal ends it, so a router that is asked to reload while it starts would die.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// capacity is the number of signals that wait in a channel. A further one is dropped: it would have no effect beyond
// that of the first.
const channelCapacity = 1

// Signals holds the signals that were caught and not received yet. Any goroutine may receive from its channels.
type Signals struct {
	// Stop delivers the signals that end the program (SIGTERM, SIGINT). The others have channels of their own, so that
	// repeated ones can't displace a SIGTERM.
	Stop chan os.Signal
	// Report delivers SIGUSR1, which requests the counters.
	Report chan os.Signal
	// Reload delivers SIGHUP, which requests that the configuration is read again.
	Reload chan os.Signal
}

// Notify begins to catch signals. The caller ends that by Close or Release.
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

// Close stops catching signals. Those that wait are dropped, since what they were sent to has ended.
func (s *Signals) Close() {
	signal.Stop(s.Stop)
	signal.Stop(s.Report)
	signal.Stop(s.Reload)
}

// Release stops catching signals and raises those that wait again, so that they take their default action on the
// program. It is for commands that don't react to signals themselves.
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

// raise sends a signal to this process. Its error is ignored: a process may always signal itself.
func raise(caught os.Signal) {
	if number, ok := caught.(syscall.Signal); ok {
		syscall.Kill(syscall.Getpid(), number)
	}
}
