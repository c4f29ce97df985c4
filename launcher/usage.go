package launcher

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Indices of the fields of /proc/PID/stat that follow the program's name; see proc(5).
const (
	statUserTime   = 11
	statSystemTime = 12
	// clockTick is the unit of both fields.
	clockTick = 10 * time.Millisecond
)

// Usage is the CPU time and the memory that a process has used.
type Usage struct {
	CPU time.Duration
	// PeakKB is the peak resident set size, in kilobytes; ResidentKB is the current one.
	PeakKB     int
	ResidentKB int
}

// Usage returns the CPU time and the memory that the process has used so far. It works
// on Linux only.
func (p *Process) Usage() (Usage, error) {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return Usage{}, errors.Wrap(err, "read the process's CPU times")
	}
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return Usage{}, errors.Wrap(err, "read the process's memory use")
	}
	_, after, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(after)
	if len(fields) <= statSystemTime {
		return Usage{}, errors.Newf("unexpected content of /proc/PID/stat: %q", stat)
	}
	ticks := atoi(fields[statUserTime]) + atoi(fields[statSystemTime])
	return Usage{
		CPU:        time.Duration(ticks) * clockTick,
		PeakKB:     statusKB(string(status), "VmHWM:"),
		ResidentKB: statusKB(string(status), "VmRSS:"),
	}, nil
}

// statusKB returns the value of the line of /proc/PID/status that starts with name, in
// kilobytes, or 0 if there is none.
func statusKB(status, name string) int {
	for line := range strings.Lines(status) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			return atoi(strings.Fields(rest)[0])
		}
	}
	return 0
}

// atoi returns the number in s, or 0 if there is none.
func atoi(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}
