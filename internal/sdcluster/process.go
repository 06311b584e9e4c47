package sdcluster

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/savorydeal/savorydeal/platform"
)

// Process is a node that runs as a process of its own.
type Process struct {
	command *exec.Cmd
	output  *os.File
	exited  chan struct{}
	err     error
}

// StartProcess starts the VM's node as a process that runs the program with the
// arguments. Its output goes to NAME.log in the folder of the settings.
func (vm *VM) StartProcess(program string, arguments ...string) (*Process, error) {
	output, err := os.Create(filepath.Join(vm.cluster.folder, vm.Name+".log"))
	if err != nil {
		return nil, fmt.Errorf("log of %s: %w", vm.Name, err)
	}
	p := &Process{command: exec.Command(program, arguments...), output: output, exited: make(chan struct{})}
	p.command.Env = append(os.Environ(), platform.SettingsVariable+"="+vm.SettingsPath)
	p.command.Stdout, p.command.Stderr = output, output
	if err := p.command.Start(); err != nil {
		return nil, fmt.Errorf("start node of %s: %w", vm.Name, err)
	}
	go func() {
		p.err = p.command.Wait()
		close(p.exited)
	}()
	return p, nil
}

// PID returns the process ID.
func (p *Process) PID() int {
	return p.command.Process.Pid
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Stop sends SIGTERM and waits until the process has ended. It returns the error
// of exec.Cmd.Wait.
func (p *Process) Stop() error {
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-p.exited
	_ = p.output.Close()
	return p.err
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.exited
	_ = p.output.Close()
}
