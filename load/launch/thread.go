package launch

import (
	"os/exec"
	"runtime"
	"sync"
)

// startRequests returns the channel of a goroutine that starts all processes on one OS thread, which lives as long as the
// program. The kernel sends the parent-death signal when the thread that started a child ends, not when its process ends.
var startRequests = sync.OnceValue(func() chan<- startRequest {
	starts := make(chan startRequest)
	go func() {
		runtime.LockOSThread()
		for s := range starts {
			s.result <- s.cmd.Start()
		}
	}()
	return starts
})

type startRequest struct {
	cmd    *exec.Cmd
	result chan error
}

func startOnSharedThread(cmd *exec.Cmd) error {
	s := startRequest{cmd: cmd, result: make(chan error, 1)}
	startRequests() <- s
	return <-s.result
}
