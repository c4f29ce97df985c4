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
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

// routingPeers are VMs by their addresses, with the replies to questions in their order. The
// last one is repeated; a VM without replies does not respond. It implements
// buckthorndyke.RoutingPeers.
type routingPeers map[string][]buckthorndyke.RoutingCopy

// RoutingCopy implements buckthorndyke.RoutingPeers.
func (p routingPeers) RoutingCopy(ctx context.Context, address string, _ buckthorndyke.RoutingQuery) (buckthorndyke.RoutingCopy, error) {
	replies := p[address]
	switch len(replies) {
	case 0:
		<-ctx.Done()
		return buckthorndyke.RoutingCopy{}, errors.New("no response")
	case 1:
	default:
		p[address] = replies[1:]
	}
	return replies[0], nil
}

// skipped holds the records that were skipped. It implements buckthorndyke.RoutingSkipper.
type skipped []buckthorndyke.RoutingRecord

// SkipRouting implements buckthorndyke.RoutingSkipper.
func (s *skipped) SkipRouting(r buckthorndyke.RoutingRecord) { *s = append(*s, r) }

// askRoutings asks peers, of which "seed" is the seed and "leader" the leader, for version 5.
func askRoutings(t *testing.T, peers routingPeers, self string) (got buckthorndyke.Routing, skips skipped, err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		clock := timekeeper.NewRealClock()
		r := bootstrapper.NewRoutings(peers, encoder.Routings{}, &skips, []string{"seed"}, self, clock, zerolog.Nop())
		got, err = r.Routing(t.Context(), buckthorndyke.SeenVersion{At: clock.Now(), Leader: "leader", VersionTag: 5})
	})
	return got, skips, err
}

func TestRoutings(t *testing.T) {
	copyOf := func(version int64) buckthorndyke.RoutingCopy {
		data, err := encoder.Routings{}.EncodeRouting(buckthorndyke.Routing{
			Record: buckthorndyke.RoutingRecord{Era: 1, Next: version}, Version: version,
		})
		asserter.NoError(t, err)
		return buckthorndyke.RoutingCopy{Encoded: data}
	}
	assertCopy := func(t *testing.T, peers routingPeers, self string, version int64) {
		t.Helper()
		got, skips, err := askRoutings(t, peers, self)
		asserter.NoError(t, err)
		asserter.Equal(t, got.Version, version)
		asserter.Equal(t, skips, skipped{got.Record})
	}
	assertNone := func(t *testing.T, peers routingPeers, self string) {
		t.Helper()
		_, skips, err := askRoutings(t, peers, self)
		asserter.Error(t, err)
		asserter.Equal(t, len(skips), 0)
	}
	t.Run("a VM is sent on and waits until the copy is there", func(t *testing.T) {
		assertCopy(t, routingPeers{"leader": {{Ask: "child"}}, "child": {{}, {}, copyOf(5)}}, "self", 5)
	})
	t.Run("a later version than the wanted one is taken", func(t *testing.T) {
		assertCopy(t, routingPeers{"leader": {copyOf(6)}}, "self", 6)
	})
	t.Run("a VM is sent on to another one if the first one does not respond", func(t *testing.T) {
		assertCopy(t, routingPeers{"leader": {{Ask: "lost"}, {Ask: "child"}}, "child": {copyOf(5)}}, "self", 5)
	})
	t.Run("a VM asks a seed if the leader does not respond", func(t *testing.T) {
		assertCopy(t, routingPeers{"seed": {copyOf(5)}}, "self", 5)
	})
	t.Run("a copy of an older version is not taken, and its position neither", func(t *testing.T) {
		assertNone(t, routingPeers{"leader": {copyOf(4)}, "seed": {copyOf(4)}}, "self")
	})
	t.Run("a seed does not ask the others", func(t *testing.T) {
		assertNone(t, routingPeers{"seed": {copyOf(5)}}, "seed")
	})
	t.Run("a VM does not wait for a copy that does not come", func(t *testing.T) {
		assertNone(t, routingPeers{"leader": {{}}}, "self")
	})
}
