package signals

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// Caught signals do not terminate the program and are queued until they are received. SIGHUP has a separate queue from
// the signals that stop the program.
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

// A caught signal terminates the program when it is released, but not when it is dropped by Close. The test runs its
// own binary as that program.
func TestReleasedSignalsTakeTheirDefaultAction(t *testing.T) {
	if action := os.Getenv("CRANKHOLD_SIGNAL"); action != "" {
		caught := Notify()
		syscall.Kill(syscall.Getpid(), syscall.SIGTERM)
		for len(caught.Stop) == 0 {
			time.Sleep(time.Millisecond)
		}
		if action == "release" {
			caught.Release()
			time.Sleep(10 * time.Second) // the released signal terminates the process before this returns
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
