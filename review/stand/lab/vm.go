package lab

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// FreeAddress returns a loopback address with a port that was free.
func FreeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// VM is one entry VM, whose process can be started several times.
type VM struct {
	Clients, Ready, Peers, Metrics string
	Name                           string

	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
	fields   map[string]any
	settings string
}

// NewVM writes the settings of a VM, as deploy/entry.jsonc renders them, into folder.
func NewVM(folder, name, zone, store string) (*VM, error) {
	v := &VM{Clients: FreeAddress(), Ready: FreeAddress(), Peers: FreeAddress(), Metrics: FreeAddress(), Name: name}
	d, err := readDeployFile()
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile(d.template)
	if err != nil {
		return nil, err
	}
	v.fields = fieldsOf(name, zone, v.Clients, v.Ready, v.Peers, store)
	// The VMs of a script share an address, and so have metrics at ports of their own.
	text := strings.ReplaceAll(string(template), "{{ip}}:"+d.metricsPort, v.Metrics)
	if text, err = render(text, &scope{value: v.fields}); err != nil {
		return nil, err
	}
	v.settings = filepath.Join(folder, name+".jsonc")
	return v, os.WriteFile(v.settings, []byte(text), 0o600)
}

// deployFile holds what deploy/system.toml says of the role.
type deployFile struct {
	metricsPort, run, template string
}

func readDeployFile() (deployFile, error) {
	var out deployFile
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return out, err
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		key, value, _ := strings.Cut(line, "=")
		value = strings.Trim(strings.TrimSpace(value), `"`)
		switch strings.TrimSpace(key) {
		case "metrics":
			out.metricsPort, _, _ = strings.Cut(value, "/")
		case "run":
			out.run = value
		case "template":
			out.template = value
		}
	}
	if out.run == "" || out.template == "" {
		return out, errors.New("deploy/system.toml has no command or no template")
	}
	return out, nil
}

// Start starts the VM's process.
func (v *VM) Start() error {
	d, err := readDeployFile()
	if err != nil {
		return err
	}
	args := strings.Fields(d.run)
	for i, a := range args {
		if a == "/etc/buckthorndyke/boot.yaml" {
			args[i] = v.settings
		} else if args[i], err = render(a, &scope{value: v.fields}); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(v.settings+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "BUCKTHORNDYKE_NODE_FILE=" + v.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cmd, v.ended = cmd, ended
	return nil
}

// PID returns the id of the VM's process.
func (v *VM) PID() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cmd.Process.Pid
}

// Ended returns a channel that is closed when the VM's process has ended.
func (v *VM) Ended() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ended
}

// Signal sends a signal to the VM's process.
func (v *VM) Signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.cmd.Process.Signal(s)
}

// IsReady reports whether the VM says that it is ready.
func (v *VM) IsReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	r, err := client.Get("http://" + v.Ready + "/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// AwaitReady waits until the VM says that it is ready.
func (v *VM) AwaitReady(limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if v.IsReady() {
			return true
		}
	}
	return false
}

// ResidentMB returns the resident memory of the VM's process in megabytes.
func (v *VM) ResidentMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.PID()))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}
