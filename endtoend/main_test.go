// Package endtoend tests the program as separate processes with real sockets.
package endtoend

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binary is the path of the program under test.
var binary string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

// run builds the program and runs the tests.
func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "buckthorndyke-endtoend-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binary = filepath.Join(folder, "buckthorndyke")
	build := exec.CommandContext(context.Background(), "go", "build", "-o", binary, "../cmd/buckthorndyke")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v: %s\n", err, out)
		return 1
	}
	return m.Run()
}
