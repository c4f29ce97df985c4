package supervisor

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

// branch is a part of the tree that starts and stops as one.
type branch struct {
	done   <-chan error
	stop   context.CancelFunc
	suture *suture.Supervisor
}

// newBranch returns a branch that restarts the tasks that fail, and gives each
// the time limit to stop.
func newBranch(name string, limit buckthorndyke.Millis, logger zerolog.Logger, tasks ...suture.Service) *branch {
	s := suture.New(name, suture.Spec{
		EventHook: reporter.SupervisorHook(logger),
		Timeout:   limit.Duration(),
	})
	for _, task := range tasks {
		s.Add(task)
	}
	return &branch{suture: s}
}

// add adds a task to a branch that has not started.
func (b *branch) add(task suture.Service) {
	b.suture.Add(task)
}

// end stops the tasks and waits until they have ended. It returns nil if all
// have stopped as asked.
func (b *branch) end() error {
	b.stop()
	if err := <-b.done; !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// start starts the tasks. They do not end with ctx but with end.
func (b *branch) start(ctx context.Context) {
	ctx, b.stop = context.WithCancel(context.WithoutCancel(ctx))
	b.done = b.suture.ServeBackground(ctx)
}
