package lab

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	held   = 0
	broken = 1
	failed = 2
)

// longest is the time after which a script ends as one that could not run.
const longest = 110 * time.Second

// Run is one run of a script. It keeps the record and the processes.
type Run struct {
	// Folder is a temporary folder.
	Folder string
	// Trouble is set if the run has the disruption.
	Trouble bool

	began  time.Time
	mu     sync.Mutex
	record *os.File
	vms    []*VM
}

// Main runs script, and ends the process with the script's exit code. The first argument
// names the folder of the case.
func Main(script func(r *Run) (bool, error)) {
	if len(os.Args) != 2 {
		fmt.Println("usage: PROGRAM FOLDER-OF-THE-CASE")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], script))
}

func run(folder string, script func(r *Run) (bool, error)) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return failed
	}
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		return failed
	}
	r := &Run{Folder: temporary, Trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	defer func() {
		r.end()
		_ = os.RemoveAll(temporary)
		_ = record.Close()
	}()
	type result struct {
		err  error
		held bool
	}
	done := make(chan result, 1)
	go func() {
		ok, err := script(r)
		done <- result{err: err, held: ok}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	out := result{err: errors.New("the script took too long")}
	select {
	case out = <-done:
	case <-time.After(longest):
	case <-signals:
		out.err = errors.New("the script was stopped")
	}
	switch {
	case out.err != nil:
		r.Note("the case could not run: %v", out.err)
		return failed
	case out.held:
		r.Note("the rule held")
		return held
	default:
		r.Note("the rule was broken")
		return broken
	}
}

// Note adds a line to the record.
func (r *Run) Note(format string, args ...any) {
	line := fmt.Sprintf("%7.3f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintln(r.record, line)
}

// Say adds a line to the record and prints it.
func (r *Run) Say(format string, args ...any) {
	r.Note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// StartVM starts an entry VM and waits until it says that it is ready.
func (r *Run) StartVM(name, zone string, s *Store) (*VM, error) {
	v, err := NewVM(r.Folder, name, zone, s.Address)
	if err != nil {
		return nil, err
	}
	if err := v.Start(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.vms = append(r.vms, v)
	r.mu.Unlock()
	r.Note("%s starts as process %d, consumers at %s", name, v.PID(), v.Clients)
	if !v.AwaitReady(15 * time.Second) {
		return nil, fmt.Errorf("%s does not become ready", name)
	}
	r.Note("%s is ready", name)
	return v, nil
}

// end ends all processes.
func (r *Run) end() {
	r.mu.Lock()
	vms := r.vms
	r.mu.Unlock()
	for _, v := range vms {
		v.Signal(syscall.SIGKILL)
	}
	for _, v := range vms {
		select {
		case <-v.Ended():
		case <-time.After(2 * time.Second):
		}
	}
}
