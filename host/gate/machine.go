package gate

import (
	"math"

	"golang.org/x/sys/unix"

	"tamarackshunt.dev/fleet/budget"
)

// MachineMemory returns the memory of the machine.
func MachineMemory() budget.Bytes {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return 0
	}
	return budget.Bytes(min(info.Totalram*uint64(info.Unit), math.MaxInt64/100))
}

// MachineDescriptors returns the number of descriptors that the process may open.
func MachineDescriptors() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}
