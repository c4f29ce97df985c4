package bootstrapper_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/bootstrapper"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

// copyPeers are VMs by their addresses, with the replies to questions in their order. The
// last one is repeated. It implements buckthorndyke.ListPeers.
type copyPeers map[string][]buckthorndyke.ListCopy

// ListCopy implements buckthorndyke.ListPeers.
func (p copyPeers) ListCopy(_ context.Context, address string, _ buckthorndyke.ListQuery) (buckthorndyke.ListCopy, error) {
	replies := p[address]
	if len(replies) == 0 {
		return buckthorndyke.ListCopy{}, errors.New("connection refused")
	}
	if len(replies) > 1 {
		p[address] = replies[1:]
	}
	return replies[0], nil
}

// askLists asks peers, of which the seed "seed" is the root, for a newer list than known.
func askLists(t *testing.T, peers copyPeers, known buckthorndyke.Backends) (got buckthorndyke.Backends, err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		clock := timekeeper.NewRealClock()
		l := bootstrapper.NewLists(peers, []string{"seed"}, "self", clock, zerolog.Nop())
		got, err = l.Backends(t.Context(), known, buckthorndyke.Second)
	})
	return got, err
}

func TestLists(t *testing.T) {
	var list buckthorndyke.Backends
	list.Servers = list.Servers.With("a", buckthorndyke.Backend{ID: "a"})
	list.At = 1000
	copyOf := buckthorndyke.ListCopy{List: list, VersionTag: list.VersionTag()}
	t.Run("a VM is sent on and waits until the copy is there", func(t *testing.T) {
		got, err := askLists(t, copyPeers{"seed": {{Ask: "child"}}, "child": {{}, {}, copyOf}}, buckthorndyke.Backends{})
		asserter.NoError(t, err)
		asserter.Equal(t, got.Servers.Len(), 1)
	})
	t.Run("a copy that is older than the VM's own list does not bring back servers that have left", func(t *testing.T) {
		known := buckthorndyke.Backends{At: 2000}
		got, err := askLists(t, copyPeers{"seed": {copyOf}}, known)
		asserter.Code(t, err, buckthorndyke.CodeStale)
		asserter.Equal(t, got.Servers.Len(), 0)
	})
	t.Run("the same version only confirms the list", func(t *testing.T) {
		got, err := askLists(t, copyPeers{"seed": {{Age: 5, VersionTag: list.VersionTag()}}}, list)
		asserter.NoError(t, err)
		asserter.True(t, got.At > list.At, "the list is not confirmed")
		asserter.Equal(t, got.Servers.Len(), 1)
	})
	t.Run("a VM reads a small list, and one that no seed has, itself", func(t *testing.T) {
		_, err := askLists(t, copyPeers{"seed": {{ReadDirectory: true}}}, buckthorndyke.Backends{})
		asserter.Code(t, err, buckthorndyke.CodeNotReady)
		_, err = askLists(t, copyPeers{}, buckthorndyke.Backends{})
		asserter.Error(t, err)
	})
}
