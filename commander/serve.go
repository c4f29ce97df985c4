package commander

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke/configurer"
)

func (c *Commander) serveCommand() *command {
	cmd := newCommand("serve", "Serve as an entry VM until SIGTERM, then drain.", "serve --settings entry.jsonc")
	var settings string
	cmd.flags.String(&settings, "s", "settings", "The settings file.")
	cmd.run = func(ctx context.Context, out printer) error {
		data, err := readSettings(settings)
		if err != nil {
			return err
		}
		parsed, err := configurer.ParseServe(data)
		if err != nil {
			return out.reportFaults(settings, err)
		}
		if parsed, err = parsed.WithSecrets(os.ReadFile); err != nil {
			return err
		}
		return runUntilStopped(ctx, c.serve, parsed)
	}
	return cmd
}

// readSettings returns the content of the settings file, or a usageError if path is
// empty.
func readSettings(path string) ([]byte, error) {
	if path == "" {
		return nil, usageError{cause: "--settings FILE is missing"}
	}
	return readFile(path)
}

// readFile returns the content of the file at path.
func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Newf("%v; correct the path or make the file readable", err)
	}
	return data, nil
}

// runUntilStopped calls run. If run returns context.Canceled because ctx has ended,
// that is not an error.
func runUntilStopped[S any](ctx context.Context, run func(context.Context, S) error, settings S) error {
	if run == nil {
		return errors.New("this program was built without the sub-command")
	}
	err := run(ctx, settings)
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
