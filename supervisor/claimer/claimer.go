package claimer

import (
	"context"

	"github.com/thejerf/suture/v4"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/adjudicator"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/placer"
)

const (
	// maxCoordinators bounds the members to which one claim is sent.
	maxCoordinators = 3
	// sweepInterval is the time between checks for streams that this VM need not tail
	// any more. Such a stream is also tailed for this long after its last claim.
	sweepInterval = 1 * buckthorndyke.Minute
)

// Claimer implements buckthorndyke.ClaimStore.
type Claimer struct {
	box      *mailer.Mailbox[message]
	clock    buckthorndyke.Clock
	follower buckthorndyke.Follower
	log      buckthorndyke.Log
	options  options
	peers    buckthorndyke.Peers
	self     buckthorndyke.Self
	settler  *settler
}

// New returns a claimer for the VM self. It replies to claims while Serve runs.
func New(
	self buckthorndyke.Self,
	follower buckthorndyke.Follower,
	log buckthorndyke.Log,
	peers buckthorndyke.Peers,
	clock buckthorndyke.Clock,
	opts ...Option,
) *Claimer {
	o := newOptions(opts)
	return &Claimer{
		box:      mailer.NewMailbox[message](),
		clock:    clock,
		follower: follower,
		log:      log,
		options:  o,
		peers:    peers,
		self:     self,
		settler:  newSettler(log, clock, o),
	}
}

// Claim implements buckthorndyke.ClaimStore. A claim of this VM is sent to the
// coordinator of its stream, and to the next member in rendezvous order if the
// coordinator does not reply. A claim of another VM is handled here, even if this VM is
// not the coordinator any more. The error is a *buckthorndyke.RefusalError; after an
// error the same claim must not be sent again.
func (c *Claimer) Claim(ctx context.Context, r buckthorndyke.ClaimRequest) (buckthorndyke.ClaimReply, error) {
	stream, err := adjudicator.StreamOf(r.Key, c.options.shards)
	if err != nil {
		return buckthorndyke.ClaimReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.claimTimeout.Duration())
	defer cancel()
	if r.VM != c.self.VM {
		return c.claimLocally(ctx, stream, r)
	}
	reply, err := c.claimFromCoordinators(ctx, stream, r)
	if err != nil && mustAbandon(err) {
		c.abandon(stream, r)
	}
	return reply, err
}

// Serve implements suture.Service.
func (c *Claimer) Serve(ctx context.Context) error {
	supervisor := suture.NewSimple("claimer")
	supervisor.Add(c.settler)
	stopped := supervisor.ServeBackground(ctx)
	updates := c.follower.Subscribe(ctx)
	s := newShards(c, supervisor)
	for {
		select {
		case err := <-stopped:
			return err
		case u, ok := <-updates:
			if !ok {
				updates = nil
				continue
			}
			s.update(u.State.Members)
		case m := <-c.box.Receive():
			m.handle(s)
		case <-c.clock.After(sweepInterval):
			s.sweep()
		}
	}
}

// Settle implements buckthorndyke.ClaimStore. It waits for the record until the settle
// timeout; after an error the claimer keeps trying to append it in the background.
func (c *Claimer) Settle(ctx context.Context, o buckthorndyke.ClaimOutcome) error {
	stream, err := adjudicator.StreamOf(o.Key, c.options.shards)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.settleTimeout.Duration())
	defer cancel()
	return c.settler.settle(ctx, stream, o)
}

// abandon frees the key of a claim whose call will not be made.
func (c *Claimer) abandon(stream buckthorndyke.Stream, r buckthorndyke.ClaimRequest) {
	c.settler.abandon(stream, buckthorndyke.ClaimOutcome{ID: r.ID, Key: r.Key, Verdict: buckthorndyke.NotRun})
}

// mustAbandon reports whether the record of a claim that failed with err may hold the
// key.
func mustAbandon(err error) bool {
	switch buckthorndyke.RefusalOf(err).Code() {
	case buckthorndyke.CodeKeyExpired, buckthorndyke.CodeKeyInvalid:
		return false
	default:
		return true
	}
}

// claimFrom sends r to one member.
func (c *Claimer) claimFrom(
	ctx context.Context, member buckthorndyke.Member, stream buckthorndyke.Stream, r buckthorndyke.ClaimRequest,
) (buckthorndyke.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.coordinatorTimeout.Duration())
	defer cancel()
	if member.VM == c.self.VM {
		return c.claimLocally(ctx, stream, r)
	}
	return c.peers.At(member.PeerAddress).Claim(ctx, r)
}

// claimFromCoordinators sends r to the coordinator of stream and then to the members
// next in order, until one replies or refuses the key.
func (c *Claimer) claimFromCoordinators(
	ctx context.Context, stream buckthorndyke.Stream, r buckthorndyke.ClaimRequest,
) (buckthorndyke.ClaimReply, error) {
	members, err := mailer.Ask(ctx, c.box, func(reply mailer.Reply[[]buckthorndyke.Member]) message {
		return coordinatorsMessage{reply: reply, stream: stream}
	})
	failure := unavailable(buckthorndyke.CodeClaimUnavailable, "no coordinator replied to the claim")
	if err != nil {
		return buckthorndyke.ClaimReply{}, failure
	}
	for _, member := range members[:min(len(members), maxCoordinators)] {
		reply, err := c.claimFrom(ctx, member, stream, r)
		if err == nil {
			return reply, nil
		}
		refusal := buckthorndyke.RefusalOf(err)
		switch refusal.Code() {
		case buckthorndyke.CodeKeyExpired, buckthorndyke.CodeKeyInvalid:
			return reply, refusal
		case buckthorndyke.CodeLogUnavailable:
			failure = refusal.WithVerdict(buckthorndyke.NotRun)
		default:
		}
		if ctx.Err() != nil {
			break
		}
	}
	return buckthorndyke.ClaimReply{}, failure
}

// claimLocally replies to r from the stream, which this VM starts to tail if necessary.
func (c *Claimer) claimLocally(
	ctx context.Context, stream buckthorndyke.Stream, r buckthorndyke.ClaimRequest,
) (buckthorndyke.ClaimReply, error) {
	shard, err := mailer.Ask(ctx, c.box, func(reply mailer.Reply[*shard]) message {
		return shardMessage{reply: reply, stream: stream}
	})
	if err != nil {
		return buckthorndyke.ClaimReply{}, unavailable(buckthorndyke.CodeClaimUnavailable, "the claimer did not reply in time")
	}
	return shard.claim(ctx, r)
}

// unavailable returns the refusal of a claim for which there is no reply.
func unavailable(code buckthorndyke.Code, message string) *buckthorndyke.RefusalError {
	return buckthorndyke.NewRefusal(code, buckthorndyke.NotRun, message)
}

// coordinatorsOf returns the members that are not leaving in rendezvous order for
// stream. The first is the coordinator.
func coordinatorsOf(
	stream buckthorndyke.Stream, members buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.Member],
) []buckthorndyke.Member {
	var ids []buckthorndyke.VMID
	for id, member := range members.All() {
		if !member.Leaving {
			ids = append(ids, id)
		}
	}
	coordinators := make([]buckthorndyke.Member, len(ids))
	for i, id := range placer.Rank(string(stream), ids) {
		coordinators[i], _ = members.Get(id)
	}
	return coordinators
}
