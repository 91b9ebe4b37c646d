package signals

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// Caught signals wait until they are received, SIGHUP apart from those that end the program, and none of them ends it.
func TestCaughtSignalsWait(t *testing.T) {
	caught := Notify()
	defer caught.Close()
	for range 3 {
		syscall.Kill(syscall.Getpid(), syscall.SIGHUP)
	}
	syscall.Kill(syscall.Getpid(), syscall.SIGTERM)
	if s := <-caught.Stop; s != syscall.SIGTERM {
		t.Errorf("caught %v", s)
	}
	if s := <-caught.Reload; s != syscall.SIGHUP {
		t.Errorf("caught %v", s)
	}
}

// A program ends by a caught signal that it releases, and does not end by one that it drops. The test runs itself as that
// program.
func TestReleasedSignalsTakeTheirDefaultAction(t *testing.T) {
	if action := os.Getenv("CRANKHOLD_SIGNAL"); action != "" {
		caught := Notify()
		syscall.Kill(syscall.Getpid(), syscall.SIGTERM)
		for len(caught.Stop) == 0 {
			time.Sleep(time.Millisecond)
		}
		if action == "release" {
			caught.Release()
			time.Sleep(10 * time.Second) // it has ended long before
		}
		caught.Close()
		return
	}
	for action, ends := range map[string]bool{"release": true, "drop": false} {
		cmd := exec.Command(os.Args[0], "-test.run=^TestReleasedSignalsTakeTheirDefaultAction$")
		cmd.Env = append(os.Environ(), "CRANKHOLD_SIGNAL="+action)
		err := cmd.Run()
		status, _ := cmd.ProcessState.Sys().(syscall.WaitStatus)
		if ended := status.Signaled() && status.Signal() == syscall.SIGTERM; ended != ends {
			t.Errorf("%s: %v", action, err)
		}
	}
}
