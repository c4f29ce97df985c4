package claimer

import (
	"github.com/thejerf/suture/v4"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/adjudicator"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// message is a message to the claimer's task.
type message interface {
	handle(*shards)
}

type (
	// coordinatorsMessage asks for the members that may coordinate a stream, in
	// rendezvous order.
	coordinatorsMessage struct {
		reply  mailer.Reply[[]buckthorndyke.Member]
		stream buckthorndyke.Stream
	}

	// shardMessage asks for the task that tails a stream. The task is started if it
	// is not running.
	shardMessage struct {
		reply  mailer.Reply[*shard]
		stream buckthorndyke.Stream
	}
)

func (m coordinatorsMessage) handle(s *shards) {
	m.reply.Answer(coordinatorsOf(m.stream, s.members))
}

func (m shardMessage) handle(s *shards) {
	m.reply.Answer(s.start(m.stream))
}

// shards is the state of the claimer's task: the streams that this VM tails, and the
// members.
type shards struct {
	claimer    *Claimer
	members    buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.Member]
	running    map[buckthorndyke.Stream]runningShard
	supervisor *suture.Supervisor
}

// runningShard is a running task.
type runningShard struct {
	// lastUsed is the instant at which the task was last asked for.
	lastUsed buckthorndyke.Millis
	shard    *shard
	token    suture.ServiceToken
}

// newShards returns the state of a claimer that does not tail any stream yet.
func newShards(c *Claimer, supervisor *suture.Supervisor) *shards {
	return &shards{
		claimer:    c,
		running:    make(map[buckthorndyke.Stream]runningShard),
		supervisor: supervisor,
	}
}

// coordinates reports whether this VM is the coordinator of stream.
func (s *shards) coordinates(stream buckthorndyke.Stream) bool {
	coordinators := coordinatorsOf(stream, s.members)
	return len(coordinators) > 0 && coordinators[0].VM == s.claimer.self.VM
}

// start returns the task that tails stream. It starts the task if necessary.
func (s *shards) start(stream buckthorndyke.Stream) *shard {
	running, ok := s.running[stream]
	if !ok {
		running.shard = newShard(stream, s.claimer.log, s.claimer.clock, s.claimer.options)
		running.token = s.supervisor.Add(running.shard)
	}
	running.lastUsed = s.claimer.clock.Now()
	s.running[stream] = running
	return running.shard
}

// sweep stops the tasks of streams that this VM does not coordinate and that were not
// used during the sweep interval.
func (s *shards) sweep() {
	now := s.claimer.clock.Now()
	for stream, running := range s.running {
		if now-running.lastUsed < sweepInterval || s.coordinates(stream) {
			continue
		}
		// Remove does not wait for the task to end. Two tasks on one stream do no harm.
		_ = s.supervisor.Remove(running.token)
		delete(s.running, stream)
	}
}

// update replaces the members and starts the tasks of the streams that this VM
// coordinates.
func (s *shards) update(members buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.Member]) {
	s.members = members
	for i := range s.claimer.options.shards {
		if stream := adjudicator.Stream(i); s.coordinates(stream) {
			s.start(stream)
		}
	}
}
