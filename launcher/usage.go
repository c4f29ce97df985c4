package launcher

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Fields of /proc/PID/stat after the program's name, from proc(5).
const (
	statUserTime   = 11
	statSystemTime = 12
	// clockTick is the unit of both times.
	clockTick = 10 * time.Millisecond
)

// Usage is what a process has used.
type Usage struct {
	CPU time.Duration
	// PeakKB and ResidentKB are in kilobytes.
	PeakKB     int
	ResidentKB int
}

// Usage returns what the process has used so far. It works on Linux only.
func (p *Process) Usage() (Usage, error) {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return Usage{}, errors.Wrap(err, "read the process's times")
	}
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return Usage{}, errors.Wrap(err, "read the process's memory")
	}
	_, after, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(after)
	if len(fields) <= statSystemTime {
		return Usage{}, errors.Newf("unexpected times of the process: %q", stat)
	}
	ticks := atoi(fields[statUserTime]) + atoi(fields[statSystemTime])
	return Usage{
		CPU:        time.Duration(ticks) * clockTick,
		PeakKB:     statusKB(string(status), "VmHWM:"),
		ResidentKB: statusKB(string(status), "VmRSS:"),
	}, nil
}

// statusKB returns the value of a line of /proc/PID/status, in kilobytes.
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
