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

// Branch is a part of the tree that starts and stops as one.
type Branch struct {
	done       <-chan error
	stop       context.CancelFunc
	supervisor *suture.Supervisor
}

// NewBranch returns a branch that restarts the tasks that fail, and gives each
// the time limit to stop.
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

// Add adds a task to a branch that has not started.
func (b *Branch) Add(task suture.Service) {
	b.supervisor.Add(task)
}

// Start starts the tasks. They do not end with ctx but with Stop.
func (b *Branch) Start(ctx context.Context) {
	ctx, b.stop = context.WithCancel(context.WithoutCancel(ctx))
	b.done = b.supervisor.ServeBackground(ctx)
}

// Stop stops the tasks and waits until they have ended. It returns nil if all
// have stopped as asked.
func (b *Branch) Stop() error {
	b.stop()
	if err := <-b.done; !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}
