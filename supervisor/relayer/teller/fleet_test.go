package teller_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/bootstrapper"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/teller"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/watcher"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

const (
	// callTime is the time of a call between two VMs, transferTime that of a large copy.
	callTime     = 4 * buckthorndyke.Millisecond
	transferTime = 60 * buckthorndyke.Millisecond
	// leaveLimit is the time within which a change of the list has to be known.
	leaveLimit = 4 * buckthorndyke.Second
	// readTime is the time that the platform needs for one read of a large list. Reads
	// follow one after the other, since they share its bandwidth.
	readTime = 40 * buckthorndyke.Millisecond
	// startSpread is the time from the start of the first VM to that of the last one. The
	// seeds start last.
	startSpread = 300 * buckthorndyke.Millisecond
	// recoveryLimit is the time within which all VMs know the list after a start.
	recoveryLimit = 3 * buckthorndyke.Second
	seedCount     = 3
)

// fleet is a fleet of VMs that start at the same time, in a synctest bubble. It implements
// buckthorndyke.ListPeers.
type fleet struct {
	clock buckthorndyke.Clock
	// down are the VMs that do not respond.
	down map[string]bool
	// listed receives the VMs that know the list.
	listed chan string
	reads  chan struct{}
	// readers limits the concurrent reads of the platform's list.
	readers chan struct{}
	// startsAt holds the instants at which the VMs start.
	startsAt map[string]buckthorndyke.Millis
	servers  buckthorndyke.Table[buckthorndyke.RunnerID, buckthorndyke.Backend]
	tellers  map[string]*teller.Teller
}

// ListCopy implements buckthorndyke.ListPeers.
func (f *fleet) ListCopy(ctx context.Context, address string, q buckthorndyke.ListQuery) (buckthorndyke.ListCopy, error) {
	if f.down[address] {
		<-ctx.Done()
		return buckthorndyke.ListCopy{}, ctx.Err()
	}
	f.wait(ctx, callTime)
	if f.clock.Now() < f.startsAt[address] {
		return buckthorndyke.ListCopy{}, errors.New("connection refused")
	}
	out, err := f.tellers[address].ListCopy(ctx, q)
	if out.List.Servers.Len() > 0 {
		f.wait(ctx, transferTime)
	}
	return out, err
}

// wait waits for d or until ctx ends.
func (f *fleet) wait(ctx context.Context, d buckthorndyke.Millis) {
	select {
	case <-ctx.Done():
	case <-f.clock.After(d):
	}
}

// platformList is the platform's directory as the VMs of a fleet read it.
type platformList struct {
	buckthorndyke.Directory
	*fleet
}

// Backends implements buckthorndyke.Directory.
func (d platformList) Backends(ctx context.Context) (buckthorndyke.Backends, error) {
	out := buckthorndyke.Backends{At: d.clock.Now()}
	out.ModelsAt = out.At
	d.reads <- struct{}{}
	select {
	case d.readers <- struct{}{}:
	case <-ctx.Done():
		return out, ctx.Err()
	case <-d.clock.After(leaveLimit):
		return out, errors.New("timeout")
	}
	d.wait(ctx, readTime)
	<-d.readers
	out.Servers = d.servers
	return out, nil
}

// start starts a VM, which is asked at address.
func (f *fleet) start(ctx context.Context, address string, seeds []string, options ...watcher.BackendsOption) {
	lists, refreshes := mailer.NewFeed[buckthorndyke.Backends](), mailer.NewFeed[buckthorndyke.Millis]()
	feeds := watcher.Feeds{
		Notices: mailer.NewFeed[buckthorndyke.SeenVersion](), Seen: mailer.NewFeed[buckthorndyke.SeenVersion](),
		Terms: mailer.NewFeed[buckthorndyke.Term](),
	}
	routings := mailer.NewFeed[buckthorndyke.Routing]()
	t := teller.New(routings, lists, refreshes, f.clock)
	f.tellers[address] = t
	options = append(options, watcher.WithRefreshes(refreshes))
	if seeds != nil {
		options = append(options, watcher.WithListSource(bootstrapper.NewLists(f, seeds, address, f.clock, zerolog.Nop())))
	}
	b := watcher.NewBackends(platformList{fleet: f}, lists, feeds, leaveLimit, f.clock, zerolog.Nop(), options...)
	go func() {
		f.wait(ctx, f.startsAt[address]-f.clock.Now())
		_ = b.Serve(ctx)
	}()
	for _, serve := range []func(context.Context) error{
		lists.Serve, refreshes.Serve, feeds.Notices.Serve, feeds.Seen.Serve, feeds.Terms.Serve, routings.Serve, t.Serve,
	} {
		go func() { _ = serve(ctx) }()
	}
	published := lists.Subscribe(ctx)
	go func() {
		if l := <-published; l.Servers.Len() == f.servers.Len() {
			f.listed <- address
		}
	}()
}

// result is how a fleet started.
type result struct {
	// reads is the number of reads of the platform's list until the last VM knew it.
	reads int
	took  buckthorndyke.Millis
}

// startFleet starts VMs at the same time and waits until those that are up know the list.
// With alone they get no copies from each other.
func startFleet(t *testing.T, vms, servers, seedsDown int, alone bool) (out result) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := &fleet{
			clock: timekeeper.NewRealClock(), down: make(map[string]bool), listed: make(chan string, vms),
			readers: make(chan struct{}, 1), reads: make(chan struct{}, 100*vms), startsAt: make(map[string]buckthorndyke.Millis), tellers: make(map[string]*teller.Teller),
		}
		for i := range servers {
			id := buckthorndyke.RunnerID(fmt.Sprintf("server-%d", i))
			f.servers = f.servers.With(id, buckthorndyke.Backend{ID: id})
		}
		var all, seeds []string
		for i := range vms {
			all = append(all, fmt.Sprintf("vm-%d", i))
		}
		seeds = all[:seedCount]
		for _, s := range seeds[:seedsDown] {
			f.down[s] = true
		}
		if alone {
			seeds = nil
		}
		began := f.clock.Now()
		for i, address := range all {
			f.startsAt[address] = began + startSpread*buckthorndyke.Millis(vms-i)/buckthorndyke.Millis(vms)
		}
		for _, address := range all {
			if !f.down[address] {
				f.start(ctx, address, seeds)
			}
		}
		for range vms - seedsDown {
			<-f.listed
		}
		out = result{reads: len(f.reads), took: f.clock.Now() - began}
		cancel()
		synctest.Wait()
	})
	return out
}

func TestFleetStart(t *testing.T) {
	for _, vms := range []int{8, 95, 300, 410} {
		t.Run(fmt.Sprintf("%d VMs that start at once know a large list soon, and only the seeds read it", vms), func(t *testing.T) {
			got := startFleet(t, vms, 600, 0, false)
			asserter.True(t, got.took <= recoveryLimit, fmt.Sprintf("it took %d ms", got.took))
			asserter.Equal(t, got.reads, seedCount)
		})
	}
	t.Run("a seed that does not respond does not keep VMs from the list", func(t *testing.T) {
		got := startFleet(t, 95, 600, 1, false)
		asserter.True(t, got.took <= recoveryLimit, fmt.Sprintf("it took %d ms", got.took))
		asserter.Equal(t, got.reads, seedCount-1)
	})
	t.Run("VMs read the list themselves if no seed responds", func(t *testing.T) {
		got := startFleet(t, 20, 600, seedCount, false)
		asserter.True(t, got.took <= recoveryLimit, fmt.Sprintf("it took %d ms", got.took))
		asserter.Equal(t, got.reads, 20-seedCount)
	})
	t.Run("VMs that get no copies from each other take too long", func(t *testing.T) {
		got := startFleet(t, 95, 600, 0, true)
		asserter.True(t, got.took > recoveryLimit, "the platform's bandwidth is not modelled")
	})
}
