package teller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
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
	// changeLimit is the time within which a changed configuration has to be in force, and
	// targetChangeLimit that for the fleet of targetVMs in DEVELOPERS.md.
	changeLimit       = 3 * buckthorndyke.Second
	targetChangeLimit = 6 * buckthorndyke.Second
	targetVMs         = 410
	// recordBytes is the size of a configuration with a thousand routes, copyBytes that of a
	// compressed copy of it.
	recordBytes = 350_000
	copyBytes   = 60_000
	// storeBytesPerMilli is the bandwidth that all reads of the store share, and
	// linkBytesPerMilli that of a VM's link of 10 Mbit/s.
	storeBytesPerMilli = 80_000
	linkBytesPerMilli  = 1_250
	// startLimit is the time within which a fleet that starts as a whole has a configuration.
	startLimit = 5 * buckthorndyke.Second
	// transferStep is the resolution of transfers, and of waits for a change.
	transferStep = 20 * buckthorndyke.Millisecond
	// awayTimeout, newestTimeout and waitMargin bound calls to a store that is away, reads of
	// the newest record and waiting calls, as those of platform.Directory do.
	awayTimeout   = 600 * buckthorndyke.Millisecond
	newestTimeout = 1500 * buckthorndyke.Millisecond
	waitMargin    = 400 * buckthorndyke.Millisecond
)

// record is the state of the configuration's topic.
type record struct {
	era, offset, version int64
}

// pipe is a bandwidth that transfers share.
type pipe struct {
	active        atomic.Int64
	bytesPerMilli int64
}

// transfer transfers bytes at no more than the given rate. It fails if ctx ends before.
func (p *pipe) transfer(ctx context.Context, clock buckthorndyke.Clock, bytes, rate int64) error {
	p.active.Add(1)
	defer p.active.Add(-1)
	for left := bytes; left > 0; left -= int64(transferStep) * min(rate, p.bytesPerMilli/p.active.Load()) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-clock.After(transferStep):
		}
	}
	return nil
}

// routingStore is the store as the VMs of a fleet read it.
type routingStore struct {
	bytesPerMilli atomic.Int64
	bytesRead     atomic.Int64
	// busyUntil is the instant at which the reads until now have left the store, in
	// microseconds.
	busyUntil atomic.Int64
	clock     buckthorndyke.Clock
	isDown    atomic.Bool
	record    atomic.Pointer[record]
	size      int64
}

// queue returns the instant at which a read of the given size that begins now leaves the
// store.
func (s *routingStore) queue(bytes int64) buckthorndyke.Millis {
	for {
		busy, now := s.busyUntil.Load(), int64(s.clock.Now())*1000
		next := max(busy, now) + bytes*1000/s.bytesPerMilli.Load()
		if s.busyUntil.CompareAndSwap(busy, next) {
			return buckthorndyke.Millis(next / 1000)
		}
	}
}

// put stores a version.
func (s *routingStore) put(version int64) {
	r := *s.record.Load()
	r.offset++
	r.version = version
	s.record.Store(&r)
}

// restore restores the store from a copy that ends with the given version, which the
// given number of versions followed.
func (s *routingStore) restore(version, lost int64) {
	r := *s.record.Load()
	s.record.Store(&record{era: r.era + 1, offset: r.offset - lost, version: version})
}

// routingDirectory is one VM's access to the store. It implements buckthorndyke.Directory and
// buckthorndyke.RoutingSkipper.
type routingDirectory struct {
	buckthorndyke.Directory
	next  *record
	store *routingStore
}

// Routing implements buckthorndyke.Directory.
func (d *routingDirectory) Routing(ctx context.Context, wait buckthorndyke.Millis) (buckthorndyke.Routing, bool, error) {
	s := d.store
	began := s.clock.Now()
	bytes := s.size * 4 / 3
	if s.isDown.Load() {
		d.next = nil
		select {
		case <-ctx.Done():
		case <-s.clock.After(awayTimeout):
		}
		return buckthorndyke.Routing{}, false, errors.New("the store is away")
	}
	if d.next != nil && wait > 0 {
		end := s.clock.Now() + wait
		for *s.record.Load() == *d.next && s.clock.Now() < end {
			select {
			case <-ctx.Done():
				return buckthorndyke.Routing{}, false, ctx.Err()
			case <-s.clock.After(min(transferStep, wait)):
			}
		}
		now := *s.record.Load()
		if now == *d.next {
			return buckthorndyke.Routing{}, false, nil
		}
		if now.era == d.next.era {
			bytes = s.size * (now.offset - d.next.offset)
		}
	}
	now := *s.record.Load()
	s.bytesRead.Add(bytes)
	// The store sends a response as a whole, and one that is given up takes its bandwidth too.
	sent := s.queue(bytes)
	done := sent + buckthorndyke.Millis(bytes/linkBytesPerMilli)
	limit := newestTimeout
	if d.next != nil && wait > 0 {
		limit = wait + waitMargin
	}
	if sent > began+limit {
		select {
		case <-ctx.Done():
		case <-s.clock.After(began + limit - s.clock.Now()):
		}
		d.next = nil
		return buckthorndyke.Routing{}, false, context.DeadlineExceeded
	}
	select {
	case <-ctx.Done():
		return buckthorndyke.Routing{}, false, ctx.Err()
	case <-s.clock.After(done - s.clock.Now()):
	}
	d.next = &now
	return buckthorndyke.Routing{
		Record:  buckthorndyke.RoutingRecord{Bytes: int(s.size), Era: now.era, Next: now.offset},
		Version: now.version,
	}, true, nil
}

// SkipRouting implements buckthorndyke.RoutingSkipper.
func (d *routingDirectory) SkipRouting(r buckthorndyke.RoutingRecord) {
	if d.next == nil || r.Era == d.next.era && r.Next > d.next.offset {
		now := *d.store.record.Load()
		d.next = &record{era: r.Era, offset: r.Next, version: now.version}
	}
}

// versionEncoder encodes the version and the record. It implements
// buckthorndyke.RoutingEncoder.
type versionEncoder struct{}

// DecodeRouting implements buckthorndyke.RoutingEncoder.
func (versionEncoder) DecodeRouting(data []byte) (buckthorndyke.Routing, error) {
	out := buckthorndyke.Routing{Copied: true}
	var in struct {
		Record  buckthorndyke.RoutingRecord
		Version int64
	}
	err := json.Unmarshal(data, &in)
	out.Record, out.Version = in.Record, in.Version
	return out, err
}

// EncodeRouting implements buckthorndyke.RoutingEncoder.
func (versionEncoder) EncodeRouting(r buckthorndyke.Routing) ([]byte, error) {
	return json.Marshal(map[string]any{"Record": r.Record, "Version": r.Version})
}

// inForce is a version that a VM has in force.
type inForce struct {
	at      buckthorndyke.Millis
	copied  bool
	version int64
	vm      int
}

// routingVM is a VM of a routingFleet.
type routingVM struct {
	isDown atomic.Bool
	// isDeaf is set if the VM gets no notices.
	isDeaf atomic.Bool
	// isMute is set if the VM does not respond to other VMs.
	isMute  atomic.Bool
	feeds   watcher.Feeds
	link    pipe
	teller  *teller.Teller
	version atomic.Int64
}

// routingFleet is a fleet of VMs in a synctest bubble. The last VM leads, the first ones
// are the seeds. It implements buckthorndyke.RoutingPeers.
type routingFleet struct {
	changes chan inForce
	clock   buckthorndyke.Clock
	copies  atomic.Int64
	leader  atomic.Pointer[buckthorndyke.SeenVersion]
	// limit is the time within which a change has to be in force.
	limit buckthorndyke.Millis
	store *routingStore
	vms   []*routingVM
}

// addressOf returns the address of a VM.
func addressOf(vm int) string { return fmt.Sprintf("vm-%d", vm) }

// RoutingCopy implements buckthorndyke.RoutingPeers.
func (f *routingFleet) RoutingCopy(ctx context.Context, address string, q buckthorndyke.RoutingQuery) (buckthorndyke.RoutingCopy, error) {
	var n int
	if _, err := fmt.Sscanf(address, "vm-%d", &n); err != nil {
		return buckthorndyke.RoutingCopy{}, err
	}
	vm := f.vms[n]
	if vm.isDown.Load() || vm.isMute.Load() {
		<-ctx.Done()
		return buckthorndyke.RoutingCopy{}, ctx.Err()
	}
	select {
	case <-ctx.Done():
		return buckthorndyke.RoutingCopy{}, ctx.Err()
	case <-f.clock.After(callTime):
	}
	out, err := vm.teller.RoutingCopy(ctx, q)
	if err == nil && len(out.Encoded) > 0 {
		f.copies.Add(1)
		err = vm.link.transfer(ctx, f.clock, copyBytes, linkBytesPerMilli)
	}
	return out, err
}

// noSnapshots has no copies of the directory. It implements buckthorndyke.DirectoryPeers.
type noSnapshots struct{ buckthorndyke.DirectoryPeers }

// start starts VM n of the fleet.
func (f *routingFleet) start(ctx context.Context, n int, seeds []string) {
	vm, leads := f.vms[n], n == len(f.vms)-1
	routings, wants, terms := mailer.NewFeed[buckthorndyke.Routing](), mailer.NewFeed[int64](), mailer.NewFeed[buckthorndyke.Term]()
	lists, refreshes := mailer.NewFeed[buckthorndyke.Backends](), mailer.NewFeed[buckthorndyke.Millis]()
	vm.feeds = watcher.Feeds{Notices: mailer.NewFeed[buckthorndyke.SeenVersion](), Seen: mailer.NewFeed[buckthorndyke.SeenVersion](), Terms: terms}
	vm.teller = teller.New(routings, lists, refreshes, f.clock, teller.WithRoutingCopies(versionEncoder{}, wants))
	d := &routingDirectory{store: f.store}
	source := bootstrapper.NewRoutings(f, versionEncoder{}, d, seeds, addressOf(n), f.clock, zerolog.Nop())
	directory := bootstrapper.NewDirectory(d, noSnapshots{}, nil, zerolog.Nop(), bootstrapper.WithRoutingCopies(source, f.clock))
	w := watcher.NewRoutings(directory, routings, vm.feeds, f.limit, f.clock, zerolog.Nop(), watcher.WithRoutingSource(source, wants))
	for _, serve := range []func(context.Context) error{
		routings.Serve, wants.Serve, terms.Serve, lists.Serve, refreshes.Serve, vm.feeds.Notices.Serve, vm.feeds.Seen.Serve, vm.teller.Serve, w.Serve,
	} {
		go func() { _ = serve(ctx) }()
	}
	if leads {
		_ = terms.Publish(ctx, buckthorndyke.Term{Leading: true})
	}
	published, seen := routings.Subscribe(ctx), vm.feeds.Seen.Subscribe(ctx)
	interval := min(max(800, 5*buckthorndyke.Millis(len(f.vms))), 1600)
	go func() {
		notice := f.clock.After(interval * buckthorndyke.Millis(n) / buckthorndyke.Millis(len(f.vms)))
		for {
			select {
			case <-ctx.Done():
				return
			case r := <-published:
				vm.version.Store(r.Version)
				f.changes <- inForce{at: f.clock.Now(), copied: r.Copied, version: r.Version, vm: n}
			case s := <-seen:
				if leads {
					s.Leader, s.ReportingVMs = addressOf(n), len(f.vms)
					f.leader.Store(&s)
				}
			case <-notice:
				notice = f.clock.After(interval)
				if s := f.leader.Load(); s != nil && !leads && !vm.isDeaf.Load() && !vm.isDown.Load() && !f.vms[len(f.vms)-1].isDown.Load() {
					_ = vm.feeds.Notices.Publish(ctx, *s)
				}
			}
		}
	}()
}

// withRoutingFleet runs test with a fleet that has version 1 in force.
func withRoutingFleet(t *testing.T, vms int, size int64, test func(t *testing.T, f *routingFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		clock := timekeeper.NewRealClock()
		f := &routingFleet{changes: make(chan inForce, 100*vms), clock: clock, store: &routingStore{clock: clock, size: size}}
		f.limit = changeLimit
		if vms >= targetVMs {
			f.limit = targetChangeLimit
		}
		f.store.bytesPerMilli.Store(storeBytesPerMilli)
		f.store.record.Store(&record{offset: 1, version: 1})
		for range vms {
			vm := &routingVM{}
			vm.link.bytesPerMilli = linkBytesPerMilli
			f.vms = append(f.vms, vm)
		}
		seeds := make([]string, 0, seedCount)
		for n := range seedCount {
			seeds = append(seeds, addressOf(n))
		}
		for n := range vms {
			// The seeds start last, so that their reads are given up as those of most others are.
			f.start(ctx, vms-1-n, seeds)
			synctest.Wait()
		}
		began := clock.Now()
		for f.lacking(1) > 0 && clock.Now() < began+startLimit {
			<-clock.After(transferStep)
		}
		t.Logf("start: %d ms, %d kB read, %d copies", clock.Now()-began, f.store.bytesRead.Load()/1000, f.copies.Load())
		<-clock.After(8 * buckthorndyke.Second)
		for n, vm := range f.vms {
			asserter.Equal(t, fmt.Sprint(n, " ", vm.version.Load()), fmt.Sprint(n, " 1"))
		}
		f.store.bytesRead.Store(0)
		f.copies.Store(0)
		test(t, f)
	})
}

// assertInForce checks that each VM that is up has version or a later one in force within the
// limit from now on, and returns the time that the slowest one took.
func (f *routingFleet) assertInForce(t *testing.T, version int64) buckthorndyke.Millis {
	t.Helper()
	began := f.clock.Now()
	for f.clock.Now() < began+f.limit {
		if f.lacking(version) == 0 {
			return f.clock.Now() - began
		}
		<-f.clock.After(transferStep)
	}
	t.Errorf("version %d is not in force on %d of %d VMs after %d ms", version, f.lacking(version), len(f.vms), f.limit)
	return f.limit
}

// lacking returns the number of VMs that are up and do not have version or a later one.
func (f *routingFleet) lacking(version int64) int {
	n := 0
	for _, vm := range f.vms {
		if !vm.isDown.Load() && vm.version.Load() < version {
			n++
		}
	}
	return n
}

// TestRoutingFleet guards against a fleet of hundreds of VMs that all read a large
// configuration at the moment at which the leader announces it: the reads exceeded their
// time-outs, began anew, and the configuration was in force after 12 s.
func TestRoutingFleet(t *testing.T) {
	for _, vms := range []int{300, 410} {
		t.Run(fmt.Sprintf("%d VMs have versions in quick succession in force, and only the leader reads the store", vms), func(t *testing.T) {
			withRoutingFleet(t, vms, recordBytes, func(t *testing.T, f *routingFleet) {
				for version := int64(2); version < 6; version++ {
					f.store.put(version)
					took := f.assertInForce(t, version)
					t.Logf("version %d took %d ms", version, took)
				}
				t.Logf("%d bytes read, %d copies", f.store.bytesRead.Load(), f.copies.Load())
				asserter.True(t, f.store.bytesRead.Load() <= 4*4*recordBytes*4/3, "more than the leader and the seeds read the store")
			})
		})
	}
	for _, vms := range []int{8, 95} {
		t.Run(fmt.Sprintf("%d VMs get no copies", vms), func(t *testing.T) {
			withRoutingFleet(t, vms, recordBytes, func(t *testing.T, f *routingFleet) {
				f.store.put(2)
				f.assertInForce(t, 2)
				asserter.Equal(t, f.copies.Load(), 0)
			})
		})
	}
	t.Run("the VMs of a large fleet read a small configuration", func(t *testing.T) {
		withRoutingFleet(t, 300, 20_000, func(t *testing.T, f *routingFleet) {
			f.store.put(2)
			f.assertInForce(t, 2)
			asserter.Equal(t, f.copies.Load(), 0)
		})
	})
	for _, vms := range []int{8, 95, 300, 410} {
		for _, c := range routingFaults {
			if vms < c.minVMs || vms > c.maxVMs {
				continue
			}
			t.Run(fmt.Sprintf("%d VMs have a version in force in time %s", vms, c.name), func(t *testing.T) {
				withRoutingFleet(t, vms, recordBytes, c.run)
			})
		}
	}
}

// routingFaults are disturbances of a fleet and of the store. Each run checks that the
// changes are in force in time nevertheless.
var routingFaults = []struct {
	name string
	// minVMs and maxVMs are the sizes of the fleets that are tried.
	minVMs, maxVMs int
	run            func(t *testing.T, f *routingFleet)
}{
	{name: "if some have missed one", minVMs: 95, maxVMs: 300, run: func(t *testing.T, f *routingFleet) {
		f.setDeaf(1, 40, true)
		f.store.put(2)
		<-f.clock.After(buckthorndyke.Second)
		f.setDeaf(1, 40, false)
		f.store.put(3)
		f.logInForce(t, 3)
	}},
	{name: "if the seeds have the older one and get no notices", minVMs: 8, maxVMs: 410, run: func(t *testing.T, f *routingFleet) {
		f.setDeaf(0, seedCount, true)
		for version := int64(2); version < 5; version++ {
			f.store.put(version)
			f.logInForce(t, version)
		}
	}},
	{name: "if a seed does not respond", minVMs: 8, maxVMs: 300, run: func(t *testing.T, f *routingFleet) {
		f.vms[1].isDown.Store(true)
		f.store.put(2)
		f.logInForce(t, 2)
	}},
	{name: "if a VM that asks for a copy does not respond itself", minVMs: 300, maxVMs: 300, run: func(t *testing.T, f *routingFleet) {
		for _, vm := range f.vms[20:24] {
			vm.isMute.Store(true)
		}
		f.store.put(2)
		f.logInForce(t, 2)
	}},
	{name: "if the leader gives no copies and the seeds have the older one", minVMs: 300, maxVMs: 300, run: func(t *testing.T, f *routingFleet) {
		f.vms[len(f.vms)-1].isMute.Store(true)
		f.setDeaf(0, seedCount, true)
		f.store.put(2)
		f.logInForce(t, 2)
		asserter.True(t, f.store.bytesRead.Load() <= int64(len(f.vms))/2*recordBytes, "most VMs read the store")
	}},
	{name: "if no seed responds", minVMs: 8, maxVMs: 300, run: func(t *testing.T, f *routingFleet) {
		for _, vm := range f.vms[:seedCount] {
			vm.isDown.Store(true)
		}
		f.store.put(2)
		f.logInForce(t, 2)
	}},
	{name: "if the leader is lost before the change", minVMs: 8, maxVMs: 410, run: func(t *testing.T, f *routingFleet) {
		f.vms[len(f.vms)-1].isDown.Store(true)
		f.store.put(2)
		f.logInForce(t, 2)
	}},
	{name: "if the leader has been lost for a while", minVMs: 8, maxVMs: 300, run: func(t *testing.T, f *routingFleet) {
		f.vms[len(f.vms)-1].isDown.Store(true)
		<-f.clock.After(4 * buckthorndyke.Second)
		f.store.put(2)
		f.logInForce(t, 2)
	}},
	{name: "if the leader is lost after its first notices", minVMs: 8, maxVMs: 300, run: func(t *testing.T, f *routingFleet) {
		f.store.put(2)
		<-f.clock.After(800)
		f.vms[len(f.vms)-1].isDown.Store(true)
		<-f.clock.After(f.limit - 800)
		asserter.Equal(t, f.lacking(2), 0)
	}},
	{name: "if the store is away before it", minVMs: 8, maxVMs: 95, run: changeAfterOutage},
	{name: "if the store is slow", minVMs: 300, maxVMs: 300, run: func(t *testing.T, f *routingFleet) {
		f.store.bytesPerMilli.Store(storeBytesPerMilli / 40)
		f.store.put(2)
		f.logInForce(t, 2)
	}},
	{name: "if the store is restored from an older copy", minVMs: 8, maxVMs: 410, run: func(t *testing.T, f *routingFleet) {
		for version := int64(2); version < 4; version++ {
			f.store.put(version)
			f.logInForce(t, version)
		}
		f.store.restore(2, 1)
		<-f.clock.After(buckthorndyke.Second)
		f.store.put(4)
		f.logInForce(t, 4)
		f.store.put(5)
		f.logInForce(t, 5)
		newest := make(map[int]int64)
		for len(f.changes) > 0 {
			c := <-f.changes
			asserter.True(t, c.version > newest[c.vm], "an older version has replaced a newer one")
			newest[c.vm] = c.version
		}
	}},
}

// logInForce checks that version is in force in time, and logs how long it took.
func (f *routingFleet) logInForce(t *testing.T, version int64) {
	t.Helper()
	took := f.assertInForce(t, version)
	t.Logf("version %d: %d ms, %d kB read, %d copies", version, took, f.store.bytesRead.Load()/1000, f.copies.Load())
}

// setDeaf sets whether the VMs from first to before end get notices.
func (f *routingFleet) setDeaf(first, end int, deaf bool) {
	for _, vm := range f.vms[first:end] {
		vm.isDeaf.Store(deaf)
	}
}

// changeAfterOutage stores a version at the end of an outage of the store.
func changeAfterOutage(t *testing.T, f *routingFleet) {
	t.Helper()
	f.store.isDown.Store(true)
	<-f.clock.After(5 * buckthorndyke.Second)
	f.store.isDown.Store(false)
	f.store.put(2)
	f.logInForce(t, 2)
}

// TestRoutingFleetAfterOutage guards against a large fleet whose reads after an outage of the
// store exceed its bandwidth, so that a change just after it is in force late.
func TestRoutingFleetAfterOutage(t *testing.T) {
	t.Run("300 VMs have a version in force in time if the store is away before it", func(t *testing.T) {
		withRoutingFleet(t, 300, recordBytes, changeAfterOutage)
	})
}
