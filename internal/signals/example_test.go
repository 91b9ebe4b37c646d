package signals_test

import (
	"fmt"
	"log"
	"syscall"

	"crankhold/internal/signals"
)

// A program catches signals first, and reacts to them when it is ready to.
func Example() {
	caught := signals.Notify()
	defer caught.Close()

	// A signal that comes while the program starts waits.
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		log.Fatal(err)
	}

	select {
	case <-caught.Reload:
		fmt.Println("read the configuration again")
	case received := <-caught.Stop:
		fmt.Println("stop for", received)
	}
	// Output: read the configuration again
}
