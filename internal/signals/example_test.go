package signals_test

import (
	"fmt"
	"log"
	"syscall"

	"crankhold/internal/signals"
)

// A program catches signals first, and handles them when it is ready.
func Example() {
	caught := signals.Notify()
	defer caught.Close()

	// A signal that arrives while the program starts is queued.
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		log.Fatal(err)
	}

	select {
	case <-caught.Reload:
		fmt.Println("read the configuration again")
	case received := <-caught.Stop:
		fmt.Println("stop on", received)
	}
	// Output: read the configuration again
}
