// Package signals catches the signals that the program answers, from its first moment on. Until a program asks for
// them, a hang-up ends it: a router that is told of a new configuration while it starts would die of it.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals holds what has come and nobody has taken yet.
type Signals struct {
	// Stop has the signals that end a program or ask for its counters, and Reload those that ask it to read its files
	// again. They are apart, so that hang-ups in a row can't crowd out a SIGTERM. A hang-up that comes while another
	// waits adds nothing.
	Stop, Reload chan os.Signal
}

// Notify begins to catch.
func Notify() *Signals {
	c := &Signals{Stop: make(chan os.Signal, 4), Reload: make(chan os.Signal, 1)}
	signal.Notify(c.Stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	signal.Notify(c.Reload, syscall.SIGHUP)
	return c
}

// Close ends that, and forgets what has come: it was meant for what has ended.
func (c *Signals) Close() {
	signal.Stop(c.Stop)
	signal.Stop(c.Reload)
}

// Release ends it too, and has signals do again what they do to any program, those that have come and were not taken
// among them.
func (c *Signals) Release() {
	c.Close()
	for {
		select {
		case s := <-c.Stop:
			raise(s)
		case s := <-c.Reload:
			raise(s)
		default:
			return
		}
	}
}

func raise(s os.Signal) {
	if n, ok := s.(syscall.Signal); ok {
		syscall.Kill(syscall.Getpid(), n)
	}
}
