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

var errUnreachable = errors.New("the peer does not reply")

// node is the claimer of one entry VM. It implements buckthorndyke.Follower.
type node struct {
	*claimer.Claimer
	alive   context.Context
	kill    context.CancelFunc
	updates chan buckthorndyke.StateUpdate
	vm      buckthorndyke.VMID
}

// Subscribe implements buckthorndyke.Follower.
func (n *node) Subscribe(context.Context) <-chan buckthorndyke.StateUpdate {
	return n.updates
}

// fleet is a group of entry VMs with a shared log. It implements buckthorndyke.Peers.
type fleet struct {
	clock    buckthorndyke.Clock
	keyCount byte
	log      *standin.MemoryLog
	// loseReplies makes all claims to peers fail after they were handled.
	loseReplies bool
	nodes       map[string]*node
}

// At implements buckthorndyke.Peers.
func (f *fleet) At(address string) buckthorndyke.Peer {
	return fakePeer{loseReplies: f.loseReplies, node: f.nodes[address]}
}

// fakePeer calls the claimer of a node. It fails once the node is killed.
type fakePeer struct {
	buckthorndyke.Peer
	loseReplies bool
	node        *node
}

func (p fakePeer) Claim(ctx context.Context, r buckthorndyke.ClaimRequest) (buckthorndyke.ClaimReply, error) {
	if p.node.alive.Err() != nil {
		return buckthorndyke.ClaimReply{}, errUnreachable
	}
	reply, err := p.node.Claim(ctx, r)
	if p.loseReplies {
		return buckthorndyke.ClaimReply{}, errUnreachable
	}
	return reply, err
}

// run runs test as a subtest in a synctest bubble with three entry VMs.
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
	n := &node{updates: make(chan buckthorndyke.StateUpdate, 1), vm: buckthorndyke.VMID(name)}
	n.alive, n.kill = context.WithCancel(ctx)
	n.Claimer = claimer.New(buckthorndyke.Self{VM: n.vm}, n, f.log, f, f.clock, claimer.WithShards(2))
	f.nodes[name] = n
	go func() { _ = n.Serve(n.alive) }()
}

// join publishes a state with all entry VMs as members.
func (f *fleet) join() {
	state := buckthorndyke.State{}
	for name, n := range f.nodes {
		state = state.WithMember(buckthorndyke.Member{PeerAddress: name, VM: n.vm})
	}
	for _, n := range f.nodes {
		n.updates <- buckthorndyke.StateUpdate{CaughtUp: true, State: state}
	}
	synctest.Wait()
}

// newKey returns a new key with the current time.
func (f *fleet) newKey() string {
	f.keyCount++
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: f.keyCount}
	for i, now := 5, f.clock.Now(); i >= 0; i, now = i-1, now>>8 {
		id[i] = byte(now)
	}
	return id.String()
}

// setFaults sets the faults that the log simulates.
func (f *fleet) setFaults(t *testing.T, faults standin.LogFaults) {
	t.Helper()
	asserter.NoError(t, f.log.SetFaults(t.Context(), faults))
}

// request returns a claim on a key by the VM of n.
func (n *node) request(key, id string) buckthorndyke.ClaimRequest {
	return buckthorndyke.ClaimRequest{
		Fingerprint: "call",
		ID:          buckthorndyke.RequestID(id),
		Key:         buckthorndyke.ClaimKey{Caller: "caller", Key: key, Service: "bookings"},
		VM:          n.vm,
	}
}

// settle records the outcome of the claim with the given ID.
func (n *node) settle(t *testing.T, key, id string, v buckthorndyke.Verdict) {
	t.Helper()
	o := buckthorndyke.ClaimOutcome{ID: buckthorndyke.RequestID(id), Key: n.request(key, id).Key, Verdict: v}
	if v == buckthorndyke.Ran {
		o.Response = &buckthorndyke.ServiceResponse{Body: []byte("booked"), Status: 201}
	}
	asserter.NoError(t, n.Settle(t.Context(), o))
}

func TestClaim(t *testing.T) {
	unknown := buckthorndyke.ClaimReply{Verdict: buckthorndyke.MayHaveRun}
	granted := buckthorndyke.ClaimReply{Granted: true}

	run(t, "exactly one of many concurrent claims through all entry VMs is granted", func(t *testing.T, f *fleet) {
		key := f.newKey()
		replies := make(chan buckthorndyke.ClaimReply, 30)
		for i := range 30 {
			n := f.nodes[strconv.Itoa(i%3)]
			go func() {
				reply, _ := n.Claim(t.Context(), n.request(key, strconv.Itoa(i)))
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
	run(t, "a later claim through another entry VM gets the recorded response", func(t *testing.T, f *fleet) {
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
	run(t, "if the claimant is killed before the outcome, the call may have run", func(t *testing.T, f *fleet) {
		key := f.newKey()
		assertClaim(t, f.nodes["0"], key, "a", granted)
		f.nodes["0"].kill()
		synctest.Wait()
		assertClaim(t, f.nodes["1"], key, "b", unknown)
		assertClaim(t, f.nodes["2"], key, "c", unknown)
	})
	run(t, "the next coordinator replies if the first is dead", func(t *testing.T, f *fleet) {
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
	run(t, "a claim whose reply is lost is sent to the next coordinator", func(t *testing.T, f *fleet) {
		f.loseReplies = true
		for i := range 6 {
			key := f.newKey()
			assertClaim(t, f.nodes[strconv.Itoa(i%3)], key, "a", granted)
			assertClaim(t, f.nodes[strconv.Itoa((i+1)%3)], key, "b", unknown)
		}
	})
	run(t, "several coordinators of one stream agree", func(t *testing.T, f *fleet) {
		key := f.newKey()
		// A node handles a claim of another VM itself.
		for i, want := range []buckthorndyke.ClaimReply{granted, unknown, unknown} {
			r := f.nodes["0"].request(key, strconv.Itoa(i))
			r.VM = "elsewhere"
			got, err := f.nodes[strconv.Itoa(i)].Claim(t.Context(), r)
			asserter.NoError(t, err)
			asserter.Equal(t, got, want)
		}
	})
	run(t, "a claim is forwarded once, even if two nodes each take the other for the coordinator", func(t *testing.T, f *fleet) {
		for name, other := range map[string]string{"0": "1", "1": "0"} {
			state := buckthorndyke.State{}.WithMember(buckthorndyke.Member{PeerAddress: other, VM: buckthorndyke.VMID(other)})
			f.nodes[name].updates <- buckthorndyke.StateUpdate{CaughtUp: true, State: state}
		}
		synctest.Wait()
		assertClaim(t, f.nodes["0"], f.newKey(), "a", granted)
	})
	run(t, "a claim is granted although replies to its appends are lost", func(t *testing.T, f *fleet) {
		key := f.newKey()
		f.setFaults(t, standin.LogFaults{LoseReplies: 2})
		assertClaim(t, f.nodes["0"], key, "a", granted)
		assertClaim(t, f.nodes["1"], key, "b", unknown)
	})
	run(t, "a key without a timestamp is refused as not run", func(t *testing.T, f *fleet) {
		_, err := f.nodes["0"].Claim(t.Context(), f.nodes["0"].request("booking-17", "a"))
		asserter.Refused(t, err, buckthorndyke.CodeKeyInvalid, buckthorndyke.NotRun)
	})
	run(t, "an expired key is refused as may have run", func(t *testing.T, f *fleet) {
		key := f.newKey()
		assertClaim(t, f.nodes["0"], key, "a", granted)
		time.Sleep(13 * time.Hour)
		_, err := f.nodes["1"].Claim(t.Context(), f.nodes["1"].request(key, "b"))
		asserter.Refused(t, err, buckthorndyke.CodeKeyExpired, buckthorndyke.MayHaveRun)
	})
}

func TestLogOutage(t *testing.T) {
	granted := buckthorndyke.ClaimReply{Granted: true}
	run(t, "while the log is down, a claim is refused as not run within 6 s", func(t *testing.T, f *fleet) {
		f.setFaults(t, standin.LogFaults{Down: true})
		started := f.clock.Now()
		_, err := f.nodes["0"].Claim(t.Context(), f.nodes["0"].request(f.newKey(), "a"))
		asserter.Refused(t, err, buckthorndyke.CodeLogUnavailable, buckthorndyke.NotRun)
		asserter.True(t, f.clock.Now()-started <= 6*buckthorndyke.Second, "the refusal took longer than 6 s")
	})
	run(t, "a key that was refused as not run can be used again", func(t *testing.T, f *fleet) {
		key := f.newKey()
		// The records are appended, but the replies are lost.
		f.setFaults(t, standin.LogFaults{LoseReplies: 1000})
		_, err := f.nodes["0"].Claim(t.Context(), f.nodes["0"].request(key, "a"))
		asserter.Refused(t, err, buckthorndyke.CodeLogUnavailable, buckthorndyke.NotRun)
		f.setFaults(t, standin.LogFaults{})
		time.Sleep(time.Second)
		assertClaim(t, f.nodes["1"], key, "b", granted)
		assertClaim(t, f.nodes["2"], key, "c", buckthorndyke.ClaimReply{Verdict: buckthorndyke.MayHaveRun})
	})
	run(t, "the record of a refused claim that is appended late does not hold the key", func(t *testing.T, f *fleet) {
		key := f.newKey()
		f.setFaults(t, standin.LogFaults{Delay: 20 * buckthorndyke.Second})
		_, err := f.nodes["0"].Claim(t.Context(), f.nodes["0"].request(key, "a"))
		asserter.Refused(t, err, buckthorndyke.CodeLogUnavailable, buckthorndyke.NotRun)
		f.setFaults(t, standin.LogFaults{})
		time.Sleep(time.Minute)
		assertClaim(t, f.nodes["1"], key, "b", granted)
		assertClaim(t, f.nodes["2"], key, "c", buckthorndyke.ClaimReply{Verdict: buckthorndyke.MayHaveRun})
	})
	run(t, "an outcome is recorded once the log is back", func(t *testing.T, f *fleet) {
		key, n := f.newKey(), f.nodes["0"]
		assertClaim(t, n, key, "a", granted)
		f.setFaults(t, standin.LogFaults{Down: true})
		started := f.clock.Now()
		err := n.Settle(t.Context(), buckthorndyke.ClaimOutcome{ID: "a", Key: n.request(key, "a").Key, Verdict: buckthorndyke.Ran})
		asserter.Refused(t, err, buckthorndyke.CodeLogUnavailable, buckthorndyke.MayHaveRun)
		asserter.Equal(t, f.clock.Now()-started, 1*buckthorndyke.Second)
		f.setFaults(t, standin.LogFaults{})
		time.Sleep(time.Second)
		assertClaim(t, f.nodes["1"], key, "b", buckthorndyke.ClaimReply{Verdict: buckthorndyke.Ran})
	})
}

// assertClaim checks the reply to a claim through the VM of n.
func assertClaim(t *testing.T, n *node, key, id string, want buckthorndyke.ClaimReply) {
	t.Helper()
	got, err := n.Claim(t.Context(), n.request(key, id))
	asserter.NoError(t, err)
	asserter.Equal(t, got, want)
}
