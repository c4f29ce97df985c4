package sharer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/quarantiner"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/sharer"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

// vm is the evidence of a VM. It implements buckthorndyke.CrashSource. The bubble runs
// one goroutine at a time that uses it.
type vm struct {
	evidence  quarantiner.Evidence
	hasLeader bool
}

// CrashEvidence implements buckthorndyke.CrashSource.
func (v *vm) CrashEvidence(context.Context) (buckthorndyke.CrashEvidence, bool, error) {
	return v.evidence.Since(0, 0), v.hasLeader, nil
}

// HandleCrashEvidence implements buckthorndyke.CrashSource.
func (v *vm) HandleCrashEvidence(_ context.Context, e buckthorndyke.CrashEvidence) error {
	v.evidence = v.evidence.With(e, 0)
	return nil
}

// peers are VMs by their addresses. It implements buckthorndyke.CrashPeers.
type peers map[string]*vm

// ShareCrashes implements buckthorndyke.CrashPeers.
func (p peers) ShareCrashes(ctx context.Context, address string, e buckthorndyke.CrashEvidence) (buckthorndyke.CrashEvidence, error) {
	other, ok := p[address]
	if !ok {
		return buckthorndyke.CrashEvidence{}, errors.New("no such VM")
	}
	if err := other.HandleCrashEvidence(ctx, e); err != nil {
		return buckthorndyke.CrashEvidence{}, err
	}
	out, _, err := other.CrashEvidence(ctx)
	return out, err
}

// crashAt returns evidence of the crash of a server.
func crashAt(server buckthorndyke.RunnerID) buckthorndyke.CrashEvidence {
	return buckthorndyke.CrashEvidence{Crashes: []buckthorndyke.Crash{{
		Lifetime: buckthorndyke.Lifetime{Server: server}, Requests: [][]buckthorndyke.Fingerprint{{"f"}},
	}}}
}

// TestShare guards against a request that ends servers through each VM in turn while no
// leader passes on what one of them has learned.
func TestShare(t *testing.T) {
	run := func(t *testing.T, own *vm, others peers) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			s := sharer.New(others, own, []string{"gone", "one", "two"}, timekeeper.NewRealClock(), zerolog.Nop())
			_ = s.Serve(ctx)
		})
	}
	vms := func() (*vm, peers) {
		own := &vm{evidence: quarantiner.New().With(crashAt("a"), 0)}
		return own, peers{
			"one": {evidence: quarantiner.New().With(crashAt("b"), 0)}, "two": {evidence: quarantiner.New().With(crashAt("c"), 0)},
		}
	}
	t.Run("without a leader all VMs learn of all crashes, also with a VM gone", func(t *testing.T) {
		own, others := vms()
		run(t, own, others)
		for _, v := range []*vm{own, others["one"], others["two"]} {
			_, quarantined := v.evidence.Quarantined([]buckthorndyke.Fingerprint{"f"}, 0)
			asserter.True(t, quarantined, "a VM does not know of all crashes")
		}
	})
	t.Run("a VM that has nothing to tell asks one VM at a time and learns all", func(t *testing.T) {
		_, others := vms()
		own := &vm{evidence: quarantiner.New()}
		run(t, own, others)
		asserter.Equal(t, own.evidence.Crashes("f"), 2)
	})
	t.Run("with a leader no VM is asked", func(t *testing.T) {
		own, others := vms()
		own.hasLeader = true
		run(t, own, others)
		asserter.Equal(t, own.evidence.Crashes("f"), 1)
	})
}
