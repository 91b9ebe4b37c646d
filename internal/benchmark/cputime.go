package benchmark

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of times in /proc: Linux has a hundred clock ticks per second.
const clockTick = 10 * time.Millisecond

// Indices of the CPU times in /proc/PID/stat, counted from the field after the program's name.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// cpuTime returns the CPU time that the running program has used, or 0 if it can't be read. See proc(5), stat.
func (p *process) cpuTime() time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, afterName, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(afterName)
	if len(fields) <= statSystemTime {
		return 0
	}
	user, _ := strconv.Atoi(fields[statUserTime])
	system, _ := strconv.Atoi(fields[statSystemTime])
	return time.Duration(user+system) * clockTick
}

// cpuTimeAfterExit returns the CPU time that the program used until its exit, or 0 if it has not exited.
func (p *process) cpuTimeAfterExit() time.Duration {
	state := p.cmd.ProcessState
	if state == nil {
		return 0
	}
	return state.UserTime() + state.SystemTime()
}
