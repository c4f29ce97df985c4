// Package launcher starts the processes of a small site on the loopback interface, for
// the demo, benchmarks and end-to-end tests. Code that serves requests must not import
// it.
package launcher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Times for the start of a process: how often its readiness is polled, and how long it
// may take.
const (
	pollInterval = 20 * time.Millisecond
	startTimeout = 30 * time.Second
)

// Launcher starts processes of one program, with settings files in one directory.
type Launcher struct {
	binary string
	dir    string
	output io.Writer
}

// Option configures a Launcher.
type Option func(*Launcher)

// WithOutput sends the output of the processes to w.
func WithOutput(w io.Writer) Option {
	return func(l *Launcher) { l.output = w }
}

// New returns a launcher for the program at the path binary, which writes settings
// files to dir.
func New(binary, dir string, opts ...Option) *Launcher {
	l := &Launcher{binary: binary, dir: dir, output: io.Discard}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// ApplyRules applies the rules in the file at path to all entry VMs of a site, in the
// name of an operator, and returns the output of the program.
func (l *Launcher) ApplyRules(ctx context.Context, site Site, path, operator string) (string, error) {
	token := filepath.Join(l.dir, "operator-token")
	if err := os.WriteFile(token, []byte(OperatorToken), 0o600); err != nil {
		return "", errors.Wrap(err, "write the operator's token to a file")
	}
	return l.Run(ctx, "rules", "apply", path, "--as", operator, "--operator", site.EntryVMs[0].Operator, "--token-file", token)
}

// ReplaceSettings replaces the settings file of the process called name.
func (l *Launcher) ReplaceSettings(name string, settings []byte) error {
	return errors.Wrap(os.WriteFile(filepath.Join(l.dir, name+".json"), settings, 0o600), "write the settings file")
}

// Run runs a sub-command until it exits and returns its output. The error contains the
// output too.
func (l *Launcher) Run(ctx context.Context, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, l.binary, args...)
	out, err := cmd.CombinedOutput()
	return string(out), errors.Wrapf(err, "%v: %s", args, out)
}

// Start starts a sub-command with the given settings, and waits until the URL ready
// responds with status 200. If it does not, the process is killed. The process does not
// end with ctx.
func (l *Launcher) Start(ctx context.Context, name, subcommand string, settings any, ready string) (*Process, error) {
	path := filepath.Join(l.dir, name+".json")
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "encode the settings")
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, errors.Wrap(err, "write the settings file")
	}
	cmd := exec.CommandContext(context.WithoutCancel(ctx), l.binary, subcommand, "--settings", path)
	cmd.Stdout, cmd.Stderr = l.output, l.output
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &Process{Name: name, cmd: cmd, exited: make(chan struct{})}
	go p.wait()
	if err := p.waitUntilReady(ctx, ready); err != nil {
		p.Kill()
		return nil, err
	}
	return p, nil
}

// StartEntryVM starts the i-th entry VM of a site and waits until it is ready.
func (l *Launcher) StartEntryVM(ctx context.Context, site Site, i int) (*Process, error) {
	e := site.EntryVMs[i]
	return l.Start(ctx, e.Name, "serve", site.EntryVMSettings(i), "http://"+e.Callers+"/readyz")
}

// StartSite starts the process with the stand-ins of a site and then its entry VMs. It
// returns the processes that have started, in that order, also if it fails.
func (l *Launcher) StartSite(ctx context.Context, site Site) ([]*Process, error) {
	p, err := l.Start(ctx, "stand-in", "stand-in", site.StandInSettings(), "http://"+site.VMList+"/v1/vms")
	if err != nil {
		return nil, err
	}
	processes := []*Process{p}
	for i, e := range site.EntryVMs {
		p, err := l.StartEntryVM(ctx, site, i)
		if err != nil {
			return processes, errors.Wrapf(err, "start %s", e.Name)
		}
		processes = append(processes, p)
	}
	return processes, nil
}

// Process is a process that a Launcher has started.
type Process struct {
	Name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// Kill kills the process with SIGKILL and waits until it has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Pause suspends the process with SIGSTOP, which the process cannot handle.
func (p *Process) Pause() error {
	return p.cmd.Process.Signal(syscall.SIGSTOP)
}

// Resume continues a process that Pause has suspended.
func (p *Process) Resume() error {
	return p.cmd.Process.Signal(syscall.SIGCONT)
}

// Signal sends the process a signal.
func (p *Process) Signal(s syscall.Signal) error {
	return p.cmd.Process.Signal(s)
}

// Stop sends the process SIGTERM and returns its exit code. If the process has not
// exited when ctx ends, Stop kills it and returns an error.
func (p *Process) Stop(ctx context.Context) (int, error) {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return 0, errors.Wrapf(err, "stop %s", p.Name)
	}
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		p.Kill()
		return 0, errors.Newf("%s did not exit before the deadline", p.Name)
	}
}

// wait closes exited when the process has exited.
func (p *Process) wait() {
	_ = p.cmd.Wait()
	close(p.exited)
}

// waitUntilReady polls the URL until it responds with status 200. It returns an error if
// the process exits first or is not ready within startTimeout.
func (p *Process) waitUntilReady(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if isReady(ctx, url) {
			return nil
		}
		select {
		case <-p.exited:
			return errors.Newf("%s exited before it was ready", p.Name)
		case <-ctx.Done():
			return errors.Newf("%s was not ready before the start timeout", p.Name)
		case <-ticker.C:
		}
	}
}

// Main calls run with a context that ends at the time limit, or when the process is
// interrupted or asked to terminate. It prints the error of run, and returns the exit
// code for the process.
func Main(name string, limit time.Duration, run func(ctx context.Context) error) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return 1
	}
	return 0
}

// WithTempDir calls work with a new temporary directory, which it removes afterwards.
func WithTempDir(name string, work func(dir string) error) (err error) {
	dir, err := os.MkdirTemp("", "buckthorndyke-"+name+"-")
	if err != nil {
		return errors.Wrap(err, "create a temporary directory for the settings")
	}
	defer func() { err = errors.CombineErrors(err, os.RemoveAll(dir)) }()
	return work(dir)
}

// FreeAddresses returns n different loopback addresses at which nothing listens.
func FreeAddresses(ctx context.Context, n int) ([]string, error) {
	var addresses []string
	for range n {
		socket, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		defer func() { _ = socket.Close() }()
		addresses = append(addresses, socket.Addr().String())
	}
	return addresses, nil
}

// isReady reports whether url responds with status 200.
func isReady(ctx context.Context, url string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
