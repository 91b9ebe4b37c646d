package benchmark

import (
	"fmt"
	"os"
	"runtime"
	"strings"

	"golang.org/x/sys/unix"
)

// onOneProcessor calls start on a thread that may run on one processor alone. A program that start starts inherits
// that.
func onOneProcessor(start func() error) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var allowed unix.CPUSet
	if err := unix.SchedGetaffinity(0, &allowed); err != nil {
		return err
	}
	one := lastProcessor(&allowed)
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return err
	}
	defer unix.SchedSetaffinity(0, &allowed)
	return start()
}

// lastProcessor returns the set of the last processor in a set.
func lastProcessor(allowed *unix.CPUSet) (one unix.CPUSet) {
	last := 0
	left := allowed.Count()
	for n := 0; left > 0; n++ {
		if allowed.IsSet(n) {
			last = n
			left--
		}
	}
	one.Set(last)
	return one
}

// residentKB returns the resident memory of the running program without the pages of files, in KB, or 0 if it can't be
// read. See proc(5), status.
func (p *process) residentKB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, value, _ := strings.Cut(string(status), "RssAnon:")
	var kb int
	fmt.Sscan(value, &kb)
	return kb
}
