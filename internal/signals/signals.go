// Package signals catches the signals that a router reacts to, from the program's first moment on. Until a program
// catches SIGHUP the signal ends it, so a router that is asked to reload while it starts would die.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// stopCapacity is how many signals wait in Stop: more add nothing, since the first ends the program.
const stopCapacity = 1

// Signals holds the signals that were caught and that nobody has received yet.
type Signals struct {
	// Stop delivers the signals that end the program (SIGTERM, SIGINT). Each of the others has a channel of its own, so
	// that repeated ones can't displace a SIGTERM.
	Stop chan os.Signal
	// Report delivers SIGUSR1, which asks for the counters. While one waits a further one adds nothing.
	Report chan os.Signal
	// Reload delivers SIGHUP, which asks to read the configuration again. While one waits a further one adds nothing.
	Reload chan os.Signal
}

// Notify begins to catch signals. The caller ends it by Close or Release.
func Notify() *Signals {
	s := &Signals{
		Stop:   make(chan os.Signal, stopCapacity),
		Report: make(chan os.Signal, 1),
		Reload: make(chan os.Signal, 1),
	}
	signal.Notify(s.Stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.Report, syscall.SIGUSR1)
	signal.Notify(s.Reload, syscall.SIGHUP)
	return s
}

// Close stops catching signals and drops those that wait: they were meant for what has ended.
func (s *Signals) Close() {
	signal.Stop(s.Stop)
	signal.Stop(s.Report)
	signal.Stop(s.Reload)
}

// Release stops catching signals and raises those that wait again, so that they do to the program what they do by
// default. It is for programs that don't react to signals themselves.
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

// raise sends a signal to this process.
func raise(caught os.Signal) {
	if number, ok := caught.(syscall.Signal); ok {
		syscall.Kill(syscall.Getpid(), number)
	}
}
