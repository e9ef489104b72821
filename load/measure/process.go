package measure

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

const (
	// tick is the unit of processor times in /proc: 10 ms on every Linux platform that Go supports.
	tick = 10 * time.Millisecond
	// statUser and statSystem are the indexes of user and system time among the fields of /proc/PID/stat after the command name.
	statUser, statSystem = 11, 12
)

// Usage is the processor time and the memory of a process.
type Usage struct {
	CPU time.Duration
	// RSS is the resident memory in bytes.
	RSS int64
}

// ReadUsage reads the usage of a process from /proc.
func ReadUsage(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, trace.ConvertSystemError(err)
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Usage{}, trace.ConvertSystemError(err)
	}
	return parseUsage(string(stat), string(status))
}

func parseUsage(stat, status string) (Usage, error) {
	// The command name is in parentheses and may contain spaces.
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= statSystem {
		return Usage{}, trace.BadParameter("unexpected stat %q", stat)
	}
	var ticks int64
	for _, i := range []int{statUser, statSystem} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return Usage{}, trace.BadParameter("unexpected stat %q", stat)
		}
		ticks += n
	}
	u := Usage{CPU: time.Duration(ticks) * tick}
	for line := range strings.Lines(status) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			if err != nil {
				return Usage{}, trace.BadParameter("unexpected status line %q", line)
			}
			u.RSS = kb << 10
		}
	}
	return u, nil
}

// Sub returns the difference between u and an earlier usage of the same process.
func (u Usage) Sub(earlier Usage) Usage {
	return Usage{CPU: u.CPU - earlier.CPU, RSS: u.RSS - earlier.RSS}
}
