package commander_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/arbiter"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/commander"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/parser"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/supervisor/follower"
	"github.com/buckthorndyke/buckthorndyke/supervisor/operator"
	"github.com/buckthorndyke/buckthorndyke/supervisor/proposer"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

const testToken = "operator-token-of-a-test"

// site is a log service with entry VMs that serve only operators.
type site struct {
	clock     buckthorndyke.Clock
	followers fleet
	log       *standin.MemoryLog
}

func newSite(t *testing.T) *site {
	t.Helper()
	t.Setenv("BUCKTHORNDYKE_OPERATOR_TOKEN", testToken)
	clock := timekeeper.NewRealClock()
	s := &site{clock: clock, followers: make(fleet), log: standin.NewMemoryLog(clock)}
	start(t, s.log.Serve)
	return s
}

// entry starts an entry VM and returns the address of its operator interface, whose
// handler is wrapped by wrap.
func (s *site) entry(t *testing.T, vm buckthorndyke.VMID, wrap func(http.Handler) http.Handler, opts ...operator.Option) string {
	t.Helper()
	rules := parser.NewRules()
	e := encoder.NewProto(rules)
	f := follower.New(s.log, arbiter.New(rules, arbiter.WithDiff(parser.Diff)), e, s.clock)
	start(t, f.Serve)
	s.followers[vm] = f
	p := proposer.New(s.log, e, f, buckthorndyke.Self{VM: vm}, s.clock, proposer.WithTimeout(2*buckthorndyke.Second))
	opts = append([]operator.Option{
		operator.WithFleet(s.followers), operator.WithParser(rules), operator.WithToken(testToken),
	}, opts...)
	handler, err := operator.New(f, p, opts...).Handler()
	asserter.NoError(t, err)
	server := httptest.NewServer(wrap(handler))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// fleet reports the rules versions of followers. A nil follower stands for a VM that
// does not respond.
type fleet map[buckthorndyke.VMID]*follower.Follower

// RulesVersions implements buckthorndyke.FleetReporter.
func (f fleet) RulesVersions(ctx context.Context) buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VMRulesVersion] {
	var versions buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VMRulesVersion]
	for vm, source := range f {
		v := buckthorndyke.VMRulesVersion{VM: vm}
		if source == nil {
			v.Err = errors.New("cut off")
		} else {
			v.Version = (<-source.Subscribe(ctx)).State.RulesVersion
		}
		versions = versions.With(vm, v)
	}
	return versions
}

// start runs a task until the test ends.
func start(t *testing.T, serve func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// direct returns next unchanged.
func direct(next http.Handler) http.Handler { return next }

// losingFirstPost passes requests to next, but loses the response to the first POST.
func losingFirstPost(next http.Handler) http.Handler {
	lose := make(chan struct{}, 1)
	lose <- struct{}{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			select {
			case <-lose:
				next.ServeHTTP(httptest.NewRecorder(), r)
				resetConnection(w)
				return
			default:
			}
		}
		next.ServeHTTP(w, r)
	})
}

// resetConnection resets the connection of a request, as the crash of a process would.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}

// result is the exit code and output of a run of the command line.
type result struct {
	code           int
	stderr, stdout string
}

// run runs the command line with args.
func run(args ...string) result {
	return runWith(commander.New(), args...)
}

func runWith(c *commander.Commander, args ...string) result {
	var stdout, stderr bytes.Buffer
	code := c.Run(args, &stdout, &stderr)
	return result{code: code, stderr: stderr.String(), stdout: stdout.String()}
}

// apply runs rules apply for the file at path.
func apply(path, by, address string, flags ...string) result {
	return run(append([]string{"rules", "apply", path, "--as", by, "--operator", address}, flags...)...)
}

// file writes text to a file and returns its path.
func file(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	asserter.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// assertResult checks that the exit code is code, that standard error contains stderr,
// and that standard error is empty if and only if the run succeeded.
func assertResult(t *testing.T, got result, code int, stderr string) {
	t.Helper()
	asserter.Equal(t, got.code, code)
	asserter.Contains(t, got.stderr, stderr)
	if (code == commander.ExitDone) != (got.stderr == "") {
		t.Errorf("exit code %d with standard error %q", code, got.stderr)
	}
}
