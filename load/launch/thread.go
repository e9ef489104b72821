package launch

import (
	"os/exec"
	"runtime"
	"sync"
)

// starter runs all starts on one thread that lives as long as the program, since the kernel sends the parent-death
// signal when the thread that started a child ends rather than its process.
var starter = sync.OnceValue(func() chan<- start {
	starts := make(chan start)
	go func() {
		runtime.LockOSThread()
		for s := range starts {
			s.result <- s.cmd.Start()
		}
	}()
	return starts
})

type start struct {
	cmd    *exec.Cmd
	result chan error
}

func startLocked(cmd *exec.Cmd) error {
	s := start{cmd: cmd, result: make(chan error, 1)}
	starter() <- s
	return <-s.result
}
