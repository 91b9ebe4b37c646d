package signals

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// What has come is kept until it is taken, hang-ups apart from what ends a program; none ends it meanwhile.
func TestCaughtSignalsWait(t *testing.T) {
	c := Notify()
	defer c.Close()
	for range 3 {
		syscall.Kill(syscall.Getpid(), syscall.SIGHUP)
	}
	syscall.Kill(syscall.Getpid(), syscall.SIGTERM)
	if s := <-c.Stop; s != syscall.SIGTERM {
		t.Errorf("caught %v", s)
	}
	if s := <-c.Reload; s != syscall.SIGHUP {
		t.Errorf("caught %v", s)
	}
}

// A program that releases a signal that has come ends by it, as if it had never been caught; one that drops it does not.
func TestReleasedSignalsDoWhatTheyDo(t *testing.T) {
	if way := os.Getenv("CRANKHOLD_SIGNAL"); way != "" {
		c := Notify()
		syscall.Kill(syscall.Getpid(), syscall.SIGTERM)
		for len(c.Stop) == 0 {
			time.Sleep(time.Millisecond)
		}
		if way == "release" {
			c.Release()
			time.Sleep(10 * time.Second) // it has ended long before
		}
		c.Close()
		return
	}
	for way, ends := range map[string]bool{"release": true, "drop": false} {
		cmd := exec.Command(os.Args[0], "-test.run=^TestReleasedSignalsDoWhatTheyDo$")
		cmd.Env = append(os.Environ(), "CRANKHOLD_SIGNAL="+way)
		err := cmd.Run()
		status, _ := cmd.ProcessState.Sys().(syscall.WaitStatus)
		if ended := status.Signaled() && status.Signal() == syscall.SIGTERM; ended != ends {
			t.Errorf("%s: %v", way, err)
		}
	}
}
