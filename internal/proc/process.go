// Package proc runs the system's programs as separate processes for the demo
// and for tests. The programs themselves start no processes.
package proc

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is a started program whose output goes to a log file.
type Process struct {
	Name string
	Log  string // path of the log file

	cmd  *exec.Cmd
	done chan struct{}
	err  error // valid once done is closed
}

// ErrStillRunning is wrapped by the error of Stop if the process did not end within
// the limit.
var ErrStillRunning = errors.New("process did not end in time")

// Start starts the program bin. Its standard output and standard error are appended
// to NAME.log in folder.
func Start(folder, name, bin string, args ...string) (*Process, error) {
	return StartEnv(folder, name, nil, bin, args...)
}

// StartEnv is Start with further environment variables, each NAME=value.
func StartEnv(folder, name string, env []string, bin string, args ...string) (*Process, error) {
	path := filepath.Join(folder, name+".log")
	out, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open log of %s: %w", name, err)
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(bin, args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), env...)
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &Process{Name: name, Log: path, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Running reports whether the process is still running.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Stop sends SIGTERM and waits for the process to end. It returns the exit error.
// After the limit it kills the process and returns an error that wraps ErrStillRunning.
func (p *Process) Stop(limit time.Duration) error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
		p.Kill()
		return fmt.Errorf("%s: %w", p.Name, ErrStillRunning)
	}
}

// Kill sends SIGKILL and waits for the process to end.
func (p *Process) Kill() {
	_ = p.signal(syscall.SIGKILL)
	<-p.done
}

// Freeze suspends the process with SIGSTOP.
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a frozen process.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Reload sends SIGHUP, which makes the process read its settings again.
func (p *Process) Reload() error { return p.signal(syscall.SIGHUP) }

func (p *Process) signal(s syscall.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %s to %s: %w", s, p.Name, err)
	}
	return nil
}
