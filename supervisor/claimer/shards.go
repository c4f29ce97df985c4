package claimer

import (
	"github.com/thejerf/suture/v4"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/adjudicator"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// message asks the claimer's task for something.
type message interface {
	handle(*shards)
}

type (
	// keepersMessage asks who keeps a stream, best first.
	coordinatorsMessage struct {
		reply  mailer.Reply[[]buckthorndyke.Member]
		stream buckthorndyke.Stream
	}

	// shardMessage asks for the task that tails a stream, and starts it if this
	// VM does not keep the stream.
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

// shards is the state of the claimer's task: the streams that it tails.
type shards struct {
	claimer    *Claimer
	members    buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.Member]
	running    map[buckthorndyke.Stream]runningShard
	supervisor *suture.Supervisor
}

// runningShard is a started task.
type runningShard struct {
	// used is the instant of the last claim for the stream.
	lastUsed buckthorndyke.Millis
	shard    *shard
	token    suture.ServiceToken
}

// newShards returns the state of a claimer that tails no stream yet.
func newShards(c *Claimer, supervisor *suture.Supervisor) *shards {
	return &shards{
		claimer:    c,
		running:    make(map[buckthorndyke.Stream]runningShard),
		supervisor: supervisor,
	}
}

// keeps reports whether this VM is the keeper of stream.
func (s *shards) coordinates(stream buckthorndyke.Stream) bool {
	coordinators := coordinatorsOf(stream, s.members)
	return len(coordinators) > 0 && coordinators[0].VM == s.claimer.self.VM
}

// start returns the task that tails stream, after starting it if need be.
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

// sweep stops tailing the streams that this VM does not keep and that were not
// used lately.
func (s *shards) sweep() {
	now := s.claimer.clock.Now()
	for stream, running := range s.running {
		if now-running.lastUsed < sweepInterval || s.coordinates(stream) {
			continue
		}
		// The task ends by itself; nothing depends on when.
		_ = s.supervisor.Remove(running.token)
		delete(s.running, stream)
	}
}

// update takes over the newest members and tails the streams that this VM keeps
// by now.
func (s *shards) update(members buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.Member]) {
	s.members = members
	for i := range s.claimer.options.shards {
		if stream := adjudicator.Stream(i); s.coordinates(stream) {
			s.start(stream)
		}
	}
}
