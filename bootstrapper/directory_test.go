package bootstrapper_test

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/bootstrapper"
)

func TestDirectory(t *testing.T) {
	known := fakePeers{"old": snapshot(3, 900), "new": snapshot(5, 200), "slow": snapshot(9, 0)}
	t.Run("a VM that starts during an outage gets the newest copy of other VMs", func(t *testing.T) {
		withDirectory(t, known, []string{"old", "gone", "new"}, func(t *testing.T, d *bootstrapper.Directory, own *fakeDirectory) {
			own.err = errors.New("down")
			assertRouting(t, d, 5)
			assertServers(t, d, 1)
		})
	})
	t.Run("a VM that does not reply is not waited for beyond a limit", func(t *testing.T) {
		withDirectory(t, known, []string{"slow", "old"}, func(t *testing.T, d *bootstrapper.Directory, own *fakeDirectory) {
			own.err = errors.New("down")
			assertRouting(t, d, 3)
		})
	})
	t.Run("a VM whose own reads succeed asks no other VM", func(t *testing.T) {
		withDirectory(t, known, []string{"new"}, func(t *testing.T, d *bootstrapper.Directory, _ *fakeDirectory) {
			assertRouting(t, d, 1)
			assertServers(t, d, 0)
		})
	})
	t.Run("a VM that knows the records asks no other VM in a later outage", func(t *testing.T) {
		withDirectory(t, known, []string{"new"}, func(t *testing.T, d *bootstrapper.Directory, own *fakeDirectory) {
			assertRouting(t, d, 1)
			assertServers(t, d, 0)
			own.err = errors.New("down")
			assertFails(t, d)
		})
	})
	t.Run("the reads fail if no other VM replies", func(t *testing.T) {
		withDirectory(t, known, []string{"gone"}, func(t *testing.T, d *bootstrapper.Directory, own *fakeDirectory) {
			own.err = errors.New("down")
			assertFails(t, d)
		})
	})
}

// assertFails reports an error unless both reads fail.
func assertFails(t *testing.T, d *bootstrapper.Directory) {
	t.Helper()
	_, _, err := d.Routing(t.Context(), 0)
	asserter.Error(t, err)
	_, err = d.Backends(t.Context())
	asserter.Error(t, err)
}

// assertRouting reports an error unless the configuration has the version want.
func assertRouting(t *testing.T, d *bootstrapper.Directory, want int64) {
	t.Helper()
	got, changed, err := d.Routing(t.Context(), 0)
	asserter.NoError(t, err)
	asserter.True(t, changed, "no configuration was returned")
	asserter.Equal(t, got.Version, want)
	// A copy whose age is not known must not count as the newest configuration.
	asserter.Equal(t, got.Copied, want != ownVersion)
}

// ownVersion is the version of the configuration that the platform's directory has.
const ownVersion = 1

// assertServers reports an error unless the list holds n servers.
func assertServers(t *testing.T, d *bootstrapper.Directory, n int) {
	t.Helper()
	got, err := d.Backends(t.Context())
	asserter.NoError(t, err)
	asserter.Equal(t, got.Servers.Len(), n)
}

// snapshot returns a snapshot with the given version and age.
func snapshot(version int64, age buckthorndyke.Millis) buckthorndyke.DirectorySnapshot {
	k := buckthorndyke.DirectorySnapshot{Age: age, Routing: buckthorndyke.Routing{Version: version}}
	k.List.Servers = k.List.Servers.With("a", buckthorndyke.Backend{ID: "a"})
	return k
}

// withDirectory runs test in a synctest bubble with a directory whose own reads succeed
// at first.
func withDirectory(t *testing.T, s fakePeers, addresses []string, test func(t *testing.T, d *bootstrapper.Directory, own *fakeDirectory)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		own := &fakeDirectory{}
		test(t, bootstrapper.NewDirectory(own, s, addresses, zerolog.New(&bytes.Buffer{})), own)
	})
}

// fakeDirectory is the platform's directory. It implements buckthorndyke.Directory.
type fakeDirectory struct{ err error }

// Backends implements buckthorndyke.Directory.
func (r *fakeDirectory) Backends(context.Context) (buckthorndyke.Backends, error) {
	return buckthorndyke.Backends{}, r.err
}

// Routing implements buckthorndyke.Directory.
func (r *fakeDirectory) Routing(context.Context, buckthorndyke.Millis) (buckthorndyke.Routing, bool, error) {
	return buckthorndyke.Routing{Version: ownVersion}, r.err == nil, r.err
}

// fakePeers are the snapshots of VMs by address. The VM called slow does not reply in time.
type fakePeers map[string]buckthorndyke.DirectorySnapshot

// DirectorySnapshot implements buckthorndyke.DirectoryPeers.
func (s fakePeers) DirectorySnapshot(ctx context.Context, address string) (buckthorndyke.DirectorySnapshot, error) {
	if address == "slow" {
		<-ctx.Done()
	}
	k, ok := s[address]
	if !ok || ctx.Err() != nil {
		return k, errors.New("no reply")
	}
	return k, nil
}
