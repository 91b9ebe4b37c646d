package benchmark

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of the times in /proc, of which Linux has a hundred a second.
const clockTick = 10 * time.Millisecond

// Places of the processor times in /proc/PID/stat, counted from the field after the program's name.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// cpuTime returns the processor time that the running program has used, or 0 where it can't be read (proc(5), stat).
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

// cpuTimeAfterExit returns the processor time that the program used, once it has ended.
func (p *process) cpuTimeAfterExit() time.Duration {
	state := p.cmd.ProcessState
	if state == nil {
		return 0
	}
	return state.UserTime() + state.SystemTime()
}
