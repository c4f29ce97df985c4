package claimer_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/supervisor/claimer"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

var errDead = errors.New("the peer is dead")

// node is one entry VM's claimer.
type node struct {
	*claimer.Claimer
	alive    context.Context
	kill     context.CancelFunc
	progress chan buckthorndyke.StateUpdate
	vm       buckthorndyke.VMID
}

// Subscribe implements buckthorndyke.Follower.
func (n *node) Subscribe(context.Context) <-chan buckthorndyke.StateUpdate {
	return n.progress
}

// fleet is some entry VMs with one log. It implements buckthorndyke.Peers.
type fleet struct {
	clock buckthorndyke.Clock
	keys  byte
	log   *standin.MemoryLog
	// losing makes all peers' answers get lost.
	losing bool
	nodes  map[string]*node
}

// At implements buckthorndyke.Peers.
func (f *fleet) At(address string) buckthorndyke.Peer {
	return fakePeer{losing: f.losing, node: f.nodes[address]}
}

// fakePeer reaches a claimer as long as its node is alive.
type fakePeer struct {
	buckthorndyke.Peer
	losing bool
	node   *node
}

func (p fakePeer) Claim(ctx context.Context, r buckthorndyke.ClaimRequest) (buckthorndyke.ClaimReply, error) {
	if p.node.alive.Err() != nil {
		return buckthorndyke.ClaimReply{}, errDead
	}
	reply, err := p.node.Claim(ctx, r)
	if p.losing {
		return buckthorndyke.ClaimReply{}, errDead
	}
	return reply, err
}

// run runs test in a bubble with three entry VMs.
func run(t *testing.T, name string, test func(t *testing.T, f *fleet)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			clock := timekeeper.NewRealClock()
			f := &fleet{clock: clock, log: standin.NewMemoryLog(clock), nodes: make(map[string]*node)}
			ctx, cancel := context.WithCancel(t.Context())
			defer synctest.Wait()
			defer cancel()
			standin.Start(ctx, f.log)
			for i := range 3 {
				f.add(ctx, strconv.Itoa(i))
			}
			f.join()
			test(t, f)
		})
	})
}

// add starts an entry VM.
func (f *fleet) add(ctx context.Context, name string) {
	n := &node{progress: make(chan buckthorndyke.StateUpdate, 1), vm: buckthorndyke.VMID(name)}
	n.alive, n.kill = context.WithCancel(ctx)
	n.Claimer = claimer.New(buckthorndyke.Self{VM: n.vm}, n, f.log, f, f.clock, claimer.WithShards(2))
	f.nodes[name] = n
	go func() { _ = n.Serve(n.alive) }()
}

// join tells all entry VMs of each other.
func (f *fleet) join() {
	state := buckthorndyke.State{}
	for name, n := range f.nodes {
		state = state.WithMember(buckthorndyke.Member{PeerAddress: name, VM: n.vm})
	}
	for _, n := range f.nodes {
		n.progress <- buckthorndyke.StateUpdate{CaughtUp: true, State: state}
	}
	synctest.Wait()
}

// faults sets the log's faults.
func (f *fleet) faults(t *testing.T, faults standin.LogFaults) {
	t.Helper()
	asserter.NoError(t, f.log.SetFaults(t.Context(), faults))
}

// newKey returns a key that is made now.
func (f *fleet) newKey() string {
	f.keys++
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: f.keys}
	for i, now := 5, f.clock.Now(); i >= 0; i, now = i-1, now>>8 {
		id[i] = byte(now)
	}
	return id.String()
}

// ask returns a claim of a key by the VM of n.
func (n *node) ask(key, id string) buckthorndyke.ClaimRequest {
	return buckthorndyke.ClaimRequest{
		Fingerprint: "call",
		ID:          buckthorndyke.RequestID(id),
		Key:         buckthorndyke.ClaimKey{Caller: "caller", Key: key, Service: "bookings"},
		VM:          n.vm,
	}
}

// settle settles the claim id.
func (n *node) settle(t *testing.T, key, id string, v buckthorndyke.Verdict) {
	t.Helper()
	o := buckthorndyke.ClaimOutcome{ID: buckthorndyke.RequestID(id), Key: n.ask(key, id).Key, Verdict: v}
	if v == buckthorndyke.Ran {
		o.Response = &buckthorndyke.ServiceResponse{Body: []byte("booked"), Status: 201}
	}
	asserter.NoError(t, n.Settle(t.Context(), o))
}

func TestClaim(t *testing.T) {
	unknown := buckthorndyke.ClaimReply{Verdict: buckthorndyke.MayHaveRun}
	granted := buckthorndyke.ClaimReply{Granted: true}

	run(t, "one of many claims through all entry VMs is granted", func(t *testing.T, f *fleet) {
		key := f.newKey()
		replies := make(chan buckthorndyke.ClaimReply, 30)
		for i := range 30 {
			n := f.nodes[strconv.Itoa(i%3)]
			go func() {
				reply, _ := n.Claim(t.Context(), n.ask(key, strconv.Itoa(i)))
				replies <- reply
			}()
		}
		grants := 0
		for range 30 {
			if (<-replies).Granted {
				grants++
			}
		}
		asserter.Equal(t, grants, 1)
	})
	run(t, "a later claim through another entry VM gets the recorded answer", func(t *testing.T, f *fleet) {
		key := f.newKey()
		assertClaim(t, f.nodes["0"], key, "a", granted)
		f.nodes["0"].settle(t, key, "a", buckthorndyke.Ran)
		ran := buckthorndyke.ClaimReply{
			Response: &buckthorndyke.ServiceResponse{Body: []byte("booked"), Header: map[string][]string{}, Status: 201},
			Verdict:  buckthorndyke.Ran,
		}
		assertClaim(t, f.nodes["1"], key, "b", ran)
		assertClaim(t, f.nodes["0"], key, "c", ran)
	})
	run(t, "after a kill between claim and outcome the call may have run", func(t *testing.T, f *fleet) {
		key := f.newKey()
		assertClaim(t, f.nodes["0"], key, "a", granted)
		f.nodes["0"].kill()
		synctest.Wait()
		assertClaim(t, f.nodes["1"], key, "b", unknown)
		assertClaim(t, f.nodes["2"], key, "c", unknown)
	})
	run(t, "the next keeper answers for a dead one", func(t *testing.T, f *fleet) {
		keys := []string{f.newKey(), f.newKey(), f.newKey(), f.newKey(), f.newKey(), f.newKey()}
		for _, key := range keys {
			assertClaim(t, f.nodes["0"], key, "a", granted)
		}
		f.nodes["1"].kill()
		f.nodes["2"].kill()
		synctest.Wait()
		for _, key := range keys {
			assertClaim(t, f.nodes["0"], key, "b", unknown)
			assertClaim(t, f.nodes["0"], f.newKey(), "c", granted)
		}
	})
	run(t, "a keeper's lost answer is asked for again", func(t *testing.T, f *fleet) {
		f.losing = true
		for i := range 6 {
			key := f.newKey()
			assertClaim(t, f.nodes[strconv.Itoa(i%3)], key, "a", granted)
			assertClaim(t, f.nodes[strconv.Itoa((i+1)%3)], key, "b", unknown)
		}
	})
	run(t, "two keepers of one stream agree", func(t *testing.T, f *fleet) {
		key := f.newKey()
		// A claim of another VM is answered by whoever is asked.
		for i, want := range []buckthorndyke.ClaimReply{granted, unknown, unknown} {
			r := f.nodes["0"].ask(key, strconv.Itoa(i))
			r.VM = "elsewhere"
			got, err := f.nodes[strconv.Itoa(i)].Claim(t.Context(), r)
			asserter.NoError(t, err)
			asserter.Equal(t, got, want)
		}
	})
	run(t, "a claim is passed on once, whatever the keepers know of each other", func(t *testing.T, f *fleet) {
		for name, other := range map[string]string{"0": "1", "1": "0"} {
			state := buckthorndyke.State{}.WithMember(buckthorndyke.Member{PeerAddress: other, VM: buckthorndyke.VMID(other)})
			f.nodes[name].progress <- buckthorndyke.StateUpdate{CaughtUp: true, State: state}
		}
		synctest.Wait()
		assertClaim(t, f.nodes["0"], f.newKey(), "a", granted)
	})
	run(t, "a lost answer to the append changes nothing", func(t *testing.T, f *fleet) {
		key := f.newKey()
		f.faults(t, standin.LogFaults{LoseReplies: 2})
		assertClaim(t, f.nodes["0"], key, "a", granted)
		assertClaim(t, f.nodes["1"], key, "b", unknown)
	})
	run(t, "a key without its time is refused as not run", func(t *testing.T, f *fleet) {
		_, err := f.nodes["0"].Claim(t.Context(), f.nodes["0"].ask("booking-17", "a"))
		asserter.Refused(t, err, buckthorndyke.CodeKeyInvalid, buckthorndyke.NotRun)
	})
	run(t, "an old key may have run", func(t *testing.T, f *fleet) {
		key := f.newKey()
		assertClaim(t, f.nodes["0"], key, "a", granted)
		time.Sleep(13 * time.Hour)
		_, err := f.nodes["1"].Claim(t.Context(), f.nodes["1"].ask(key, "b"))
		asserter.Refused(t, err, buckthorndyke.CodeKeyExpired, buckthorndyke.MayHaveRun)
	})
}

func TestLogOutage(t *testing.T) {
	granted := buckthorndyke.ClaimReply{Granted: true}
	run(t, "a claim is refused as not run in bounded time", func(t *testing.T, f *fleet) {
		f.faults(t, standin.LogFaults{Down: true})
		asked := f.clock.Now()
		_, err := f.nodes["0"].Claim(t.Context(), f.nodes["0"].ask(f.newKey(), "a"))
		asserter.Refused(t, err, buckthorndyke.CodeLogUnavailable, buckthorndyke.NotRun)
		asserter.True(t, f.clock.Now()-asked <= 6*buckthorndyke.Second, "the refusal took too long")
	})
	run(t, "a key that was refused as not run can be used again", func(t *testing.T, f *fleet) {
		key := f.newKey()
		// The records are appended, but the answers are lost.
		f.faults(t, standin.LogFaults{LoseReplies: 1000})
		_, err := f.nodes["0"].Claim(t.Context(), f.nodes["0"].ask(key, "a"))
		asserter.Refused(t, err, buckthorndyke.CodeLogUnavailable, buckthorndyke.NotRun)
		f.faults(t, standin.LogFaults{})
		time.Sleep(time.Second)
		assertClaim(t, f.nodes["1"], key, "b", granted)
		assertClaim(t, f.nodes["2"], key, "c", buckthorndyke.ClaimReply{Verdict: buckthorndyke.MayHaveRun})
	})
	run(t, "a record that appears late does not keep its key", func(t *testing.T, f *fleet) {
		key := f.newKey()
		f.faults(t, standin.LogFaults{Delay: 20 * buckthorndyke.Second})
		_, err := f.nodes["0"].Claim(t.Context(), f.nodes["0"].ask(key, "a"))
		asserter.Refused(t, err, buckthorndyke.CodeLogUnavailable, buckthorndyke.NotRun)
		f.faults(t, standin.LogFaults{})
		time.Sleep(time.Minute)
		assertClaim(t, f.nodes["1"], key, "b", granted)
		assertClaim(t, f.nodes["2"], key, "c", buckthorndyke.ClaimReply{Verdict: buckthorndyke.MayHaveRun})
	})
	run(t, "an outcome is recorded once the log is back", func(t *testing.T, f *fleet) {
		key, n := f.newKey(), f.nodes["0"]
		assertClaim(t, n, key, "a", granted)
		f.faults(t, standin.LogFaults{Down: true})
		asked := f.clock.Now()
		err := n.Settle(t.Context(), buckthorndyke.ClaimOutcome{ID: "a", Key: n.ask(key, "a").Key, Verdict: buckthorndyke.Ran})
		asserter.Refused(t, err, buckthorndyke.CodeLogUnavailable, buckthorndyke.MayHaveRun)
		asserter.Equal(t, f.clock.Now()-asked, 1*buckthorndyke.Second)
		f.faults(t, standin.LogFaults{})
		time.Sleep(time.Second)
		assertClaim(t, f.nodes["1"], key, "b", buckthorndyke.ClaimReply{Verdict: buckthorndyke.Ran})
	})
}

// assertClaim checks the answer to a claim through the VM of n.
func assertClaim(t *testing.T, n *node, key, id string, want buckthorndyke.ClaimReply) {
	t.Helper()
	got, err := n.Claim(t.Context(), n.ask(key, id))
	asserter.NoError(t, err)
	asserter.Equal(t, got, want)
}
