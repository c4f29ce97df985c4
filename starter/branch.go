// Package starter starts and stops the branches of a supervisor tree.
package starter

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

// Branch is a part of the supervisor tree whose tasks start and stop together.
type Branch struct {
	done       <-chan error
	stop       context.CancelFunc
	supervisor *suture.Supervisor
}

// NewBranch returns a branch that restarts failed tasks. When the branch stops, it waits
// for each task at most the time limit.
func NewBranch(name string, limit buckthorndyke.Millis, logger zerolog.Logger, tasks ...suture.Service) *Branch {
	s := suture.New(name, suture.Spec{
		EventHook: reporter.SupervisorHook(logger),
		Timeout:   limit.Duration(),
	})
	for _, task := range tasks {
		s.Add(task)
	}
	return &Branch{supervisor: s}
}

// Add adds a task. The branch must not have been started.
func (b *Branch) Add(task suture.Service) {
	b.supervisor.Add(task)
}

// Start starts the tasks in the background. They keep the values of ctx but not its
// cancellation: they run until Stop is called.
func (b *Branch) Start(ctx context.Context) {
	ctx, b.stop = context.WithCancel(context.WithoutCancel(ctx))
	b.done = b.supervisor.ServeBackground(ctx)
}

// Stop stops the tasks and waits until they have ended. It returns nil if they ended
// because of Stop, and otherwise the error that ended the supervisor. The branch must
// have been started.
func (b *Branch) Stop() error {
	b.stop()
	if err := <-b.done; !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}
