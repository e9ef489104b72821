package relay

import (
	"bufio"
	"fmt"
	"os"
	"strings"
)

// Owner returns the process among pids that has a TCP socket with a local port on 127.0.0.0/8, or 0. It reads the
// socket's inode from /proc/net/tcp and looks for it among the open files of just these processes.
func Owner(port int, pids []int) int {
	inode := socketInode(port)
	if inode == "" {
		return 0
	}
	for _, pid := range pids {
		if hasSocket(pid, inode) {
			return pid
		}
	}
	return 0
}

func socketInode(port int) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = file.Close() }()
	suffix := fmt.Sprintf(":%04X", port)
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) > 9 && strings.HasSuffix(fields[1], suffix) && fields[9] != "0" {
			return fields[9]
		}
	}
	return ""
}

func hasSocket(pid int, inode string) bool {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	for _, entry := range entries {
		target, err := os.Readlink(folder + "/" + entry.Name())
		if err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
