package commander

import (
	"context"
	"runtime/debug"
)

// versionOutput is the JSON output of version.
type versionOutput struct {
	Go       string `json:"go"`
	Revision string `json:"revision,omitempty"`
	Version  string `json:"version"`
}

func (c *Commander) versionCommand() *command {
	cmd := newCommand("version", "Print the program's version.", "version --json")
	var asJSON bool
	cmd.flags.Bool(&asJSON, "j", "json", "Print JSON.")
	cmd.run = func(_ context.Context, out printer) error {
		v := version()
		if asJSON {
			return out.json(v)
		}
		out.printf("%s %s (%s)\n", program, v.Version, v.Go)
		return nil
	}
	return cmd
}

// version returns the version information that is recorded in the binary.
func version() versionOutput {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return versionOutput{Version: "unknown"}
	}
	v := versionOutput{Go: info.GoVersion, Version: info.Main.Version}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v.Revision = s.Value
		}
	}
	return v
}
