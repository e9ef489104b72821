package launch

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// terminateTimeout is the time after SIGTERM until a process is killed; it exceeds a host's default grace.
const terminateTimeout = 12 * time.Second

// Process is a program that can be started, ended and started again with the same settings.
type Process struct {
	Name     string
	program  string
	settings string
	log      string

	mutex sync.Mutex
	cmd   *exec.Cmd
	done  chan struct{}
}

func newProcess(bin, program, dir, name string) *Process {
	return &Process{
		Name:     name,
		program:  filepath.Join(bin, program),
		settings: filepath.Join(dir, name+".yaml"),
		log:      filepath.Join(dir, name+".log"),
	}
}

// Start starts the program and appends its output to its log file.
func (p *Process) Start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.running() {
		return trace.AlreadyExists("%s is running", p.Name)
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	// The process has its own copy of the file descriptor.
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.program, "--settings", p.settings)
	cmd.Stdout = log
	cmd.Stderr = log
	// The process is killed when this program ends, so that an interrupted run leaves no process behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := startOnSharedThread(cmd); err != nil {
		return trace.Wrap(err, "starting %s", p.Name)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		defer close(done)
		// The exit status is in cmd.ProcessState; a killed process isn't an error here.
		_ = cmd.Wait()
	}()
	return nil
}

func (p *Process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.running()
}

// PID returns the process id, or 0 when the process is not running.
func (p *Process) PID() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.running() {
		return 0
	}
	return p.cmd.Process.Pid
}

// Done returns a channel that is closed when the process has ended; it is nil before the first start.
func (p *Process) Done() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.done
}

// Signal sends a signal to the process; NotFound means that it is not running.
func (p *Process) Signal(signal syscall.Signal) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.running() {
		return trace.NotFound("%s is not running", p.Name)
	}
	return trace.Wrap(p.cmd.Process.Signal(signal))
}

// Kill sends SIGKILL to the process and waits until it has ended.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.Done()
	return nil
}

// Freeze suspends the process with SIGSTOP until Thaw.
func (p *Process) Freeze() error { return p.Signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process with SIGCONT.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM to the process and waits until it has ended. After terminateTimeout it kills the process and returns
// LimitExceeded.
func (p *Process) Terminate() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.Done():
		return nil
	case <-time.After(terminateTimeout):
		if err := p.Kill(); err != nil && !trace.IsNotFound(err) {
			return err
		}
		return trace.LimitExceeded("%s did not end within %s of SIGTERM", p.Name, terminateTimeout)
	}
}

// Restart kills the process if it is running, and starts it.
func (p *Process) Restart() error {
	if err := p.Kill(); err != nil && !trace.IsNotFound(err) {
		return err
	}
	return p.Start()
}

// ExitCode returns the exit code of the ended process, or -1 while it runs or when a signal ended it.
func (p *Process) ExitCode() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.cmd == nil || p.running() {
		return -1
	}
	return p.cmd.ProcessState.ExitCode()
}

// Log returns the end of the process's log, at most limit bytes.
func (p *Process) Log(limit int) string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-limit):])
}
