// Package launcher starts the processes of a small site on loopback, for the
// demo and for tests of separate processes. Serving code never imports it.
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

// Times of the launcher.
const (
	pollInterval = 20 * time.Millisecond
	startTimeout = 30 * time.Second
)

// Launcher starts processes of one program, with settings files in one folder.
type Launcher struct {
	binary string
	dir    string
	output io.Writer
}

// Option configures a Launcher.
type Option func(*Launcher)

// WithOutput sends what the processes log to w.
func WithOutput(w io.Writer) Option {
	return func(l *Launcher) { l.output = w }
}

// New returns a launcher of the program at the path binary.
func New(binary, dir string, opts ...Option) *Launcher {
	l := &Launcher{binary: binary, dir: dir, output: io.Discard}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Apply puts the rules in the file at path in force on all entry VMs of a site,
// in the name of an operator, and returns what the program printed.
func (l *Launcher) ApplyRules(ctx context.Context, site Site, path, operator string) (string, error) {
	token := filepath.Join(l.dir, "operator-token")
	if err := os.WriteFile(token, []byte(OperatorToken), 0o600); err != nil {
		return "", errors.Wrap(err, "write the operator's token")
	}
	return l.Run(ctx, "rules", "apply", path, "--as", operator, "--operator", site.EntryVMs[0].Operator, "--token-file", token)
}

// Rewrite replaces the settings file of the process called name.
func (l *Launcher) ReplaceSettings(name string, settings []byte) error {
	return errors.Wrap(os.WriteFile(filepath.Join(l.dir, name+".json"), settings, 0o600), "write the settings")
}

// Run runs a sub-command to its end and returns what it printed.
func (l *Launcher) Run(ctx context.Context, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, l.binary, args...)
	out, err := cmd.CombinedOutput()
	return string(out), errors.Wrapf(err, "%v: %s", args, out)
}

// Start starts sub-command with the given settings, and waits until the URL
// ready answers with status 200.
func (l *Launcher) Start(ctx context.Context, name, subcommand string, settings any, ready string) (*Process, error) {
	path := filepath.Join(l.dir, name+".json")
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "encode the settings")
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, errors.Wrap(err, "write the settings")
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

// StartEntryVM starts one entry VM of a site and waits until it is ready.
func (l *Launcher) StartEntryVM(ctx context.Context, site Site, i int) (*Process, error) {
	e := site.EntryVMs[i]
	return l.Start(ctx, e.Name, "serve", site.EntryVMSettings(i), "http://"+e.Callers+"/readyz")
}

// StartSite starts the stand-ins of a site and then its entry VMs, and returns
// those that have started, in that order.
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

// Kill ends the process at once and waits until it is gone.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Pause stops the process without its notice.
func (p *Process) Pause() error {
	return p.cmd.Process.Signal(syscall.SIGSTOP)
}

// Resume lets a paused process go on.
func (p *Process) Resume() error {
	return p.cmd.Process.Signal(syscall.SIGCONT)
}

// Signal sends the process a signal.
func (p *Process) Signal(s syscall.Signal) error {
	return p.cmd.Process.Signal(s)
}

// Stop asks the process to end and returns its exit code. It fails if the
// process has not ended when ctx does.
func (p *Process) Stop(ctx context.Context) (int, error) {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return 0, errors.Wrapf(err, "stop %s", p.Name)
	}
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		p.Kill()
		return 0, errors.Newf("%s did not stop in time", p.Name)
	}
}

// wait takes note of the end of the process.
func (p *Process) wait() {
	_ = p.cmd.Wait()
	close(p.exited)
}

// awaitReady polls the URL until it answers with status 200.
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
			return errors.Newf("%s ended at its start", p.Name)
		case <-ctx.Done():
			return errors.Newf("%s was not ready in time", p.Name)
		case <-ticker.C:
		}
	}
}

// Main runs a command that ends by itself or at a time limit, or once it is
// interrupted, and returns the exit code of its process.
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

// WithFolder runs work with a new folder, which it removes afterwards.
func WithTempDir(name string, work func(dir string) error) (err error) {
	dir, err := os.MkdirTemp("", "buckthorndyke-"+name+"-")
	if err != nil {
		return errors.Wrap(err, "make a folder for the settings")
	}
	defer func() { err = errors.CombineErrors(err, os.RemoveAll(dir)) }()
	return work(dir)
}

// FreeAddresses returns n addresses on loopback at which nothing listens.
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

// isReady reports whether url answers with status 200.
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
