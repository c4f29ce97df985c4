// Package commander implements the command line. Each sub-command has a file.
package commander

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/configurer"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

// Commander runs sub-commands.
type Commander struct {
	clock   buckthorndyke.Clock
	relay   RelayFunc
	serve   func(ctx context.Context, settings configurer.Serve) error
	standIn func(ctx context.Context, settings configurer.StandIn) error
}

// RelayFunc runs a relaying entry VM with the given settings until ctx ends. It calls
// reread to read the settings file again.
type RelayFunc func(ctx context.Context, settings configurer.Relay, reread func() ([]byte, error)) error

// Option configures a Commander.
type Option func(*Commander)

// WithClock sets the clock. The default is the real clock.
func WithClock(clock buckthorndyke.Clock) Option {
	return func(c *Commander) { c.clock = clock }
}

// WithRelay sets the function that the sub-command relay calls. When ctx ends, it must
// drain and return.
func WithRelay(relay RelayFunc) Option {
	return func(c *Commander) { c.relay = relay }
}

// WithServe sets the function that the sub-command serve calls. When ctx ends, it must
// drain and return.
func WithServe(serve func(ctx context.Context, settings configurer.Serve) error) Option {
	return func(c *Commander) { c.serve = serve }
}

// WithStandIn sets the function that the sub-command stand-in calls. When ctx ends, it
// must return.
func WithStandIn(standIn func(ctx context.Context, settings configurer.StandIn) error) Option {
	return func(c *Commander) { c.standIn = standIn }
}

// New returns a commander. The sub-commands relay, serve and stand-in fail unless
// their functions are set.
func New(opts ...Option) *Commander {
	c := &Commander{clock: timekeeper.NewRealClock()}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Run runs the sub-command in args, which do not include the program's name, and
// returns the exit code of the process. SIGINT and SIGTERM end the context of the
// sub-command.
func (c *Commander) Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	out := printer{stderr: stderr, stdout: stdout}
	err := c.run(ctx, args, out)
	if err != nil {
		out.error(err)
	}
	return exitCode(err)
}

// run runs the sub-command in args, or prints its help.
func (c *Commander) run(ctx context.Context, args []string, out printer) error {
	if len(args) > 0 && args[0] == "--version" {
		args = append([]string{"version"}, args[1:]...)
	}
	line, err := parseArgs(c.commands(), args)
	switch {
	case err != nil:
		return err
	case line.help != "":
		out.printf("%s\n", line.help)
		return nil
	default:
		return line.command.run(ctx, out)
	}
}

// commands returns the tree of sub-commands.
func (c *Commander) commands() []*command {
	return []*command{
		c.auditCommand(),
		c.drainCommand(),
		c.relayCommand(),
		group("rules", "Check, apply or show the rules.",
			c.rulesApplyCommand(), c.rulesCheckCommand(), c.rulesShowCommand()),
		c.serveCommand(),
		group("settings", "Check settings files.", c.settingsCheckCommand()),
		c.standInCommand(),
		c.statusCommand(),
		c.versionCommand(),
	}
}
