package commander

import (
	"context"
	"fmt"
	"strings"
	"text/template"

	"github.com/integrii/flaggy"
)

// program is the name of the program.
const program = "buckthorndyke"

// command is a sub-command, or a group of them.
type command struct {
	children []*command
	flags    *flaggy.Subcommand
	run      func(ctx context.Context, out printer) error
}

// commandLine is the result of parsing the arguments.
type commandLine struct {
	command *command
	// help is the text to print instead of running the command, or empty.
	help string
}

// By default flaggy exits the process after printing help and on some errors. Here it
// panics instead, so that parse can recover and return.
func init() {
	flaggy.PanicInsteadOfExit = true
}

// newCommand returns a sub-command without a run function. Its help text ends with the
// example.
func newCommand(name, description, example string) *command {
	flags := flaggy.NewSubcommand(name)
	flags.Description = description
	flags.AdditionalHelpAppend = "\n  Example:\n    " + program + " " + example
	return &command{flags: flags}
}

// group returns a sub-command that cannot be run itself but has sub-commands.
func group(name, description string, children ...*command) *command {
	flags := flaggy.NewSubcommand(name)
	flags.Description = description
	return &command{children: children, flags: flags}
}

// parseArgs parses args. Its error is a usageError.
func parseArgs(commands []*command, args []string) (commandLine, error) {
	parser := flaggy.NewParser(program)
	parser.Description = "Serves many rarely used models and prioritizes requests by rank. The exit code is 0 for done, 1 for failed,\n2 for invalid arguments and 3 if the outcome is not known."
	parser.ShowCompletion = false
	parser.ShowVersionWithVersionFlag = false
	attach(&parser.Subcommand, commands)
	chosen, err := choose(commands, args)
	if err != nil {
		return commandLine{}, err
	}
	help, exited, err := parse(parser, args)
	switch {
	case err != nil:
		return commandLine{}, usageError{cause: err.Error()}
	case exited && help.Message != "":
		return commandLine{}, usageError{cause: strings.Trim(help.Message, " .")}
	case exited:
		return commandLine{help: strings.Trim(strings.Join(help.Lines, "\n"), "\n")}, nil
	default:
		return commandLine{command: chosen}, nil
	}
}

// attach adds commands below parent.
func attach(parent *flaggy.Subcommand, commands []*command) {
	for _, c := range commands {
		parent.AttachSubcommand(c.flags, 1)
		attach(c.flags, c.children)
	}
}

// choose returns the command named in args, or nil if they request help.
func choose(commands []*command, args []string) (*command, error) {
	for _, arg := range args {
		if arg == "-h" || arg == "--help" {
			return nil, nil
		}
		next := find(commands, arg)
		if next == nil {
			return nil, usageError{cause: fmt.Sprintf("unknown sub-command %q; expected one of %s", arg, commandNames(commands))}
		}
		if next.run != nil {
			return next, nil
		}
		commands = next.children
	}
	return nil, usageError{cause: "the sub-command is missing; expected one of " + commandNames(commands)}
}

// find returns the command with the given name, or nil.
func find(commands []*command, name string) *command {
	for _, c := range commands {
		if c.flags.Name == name {
			return c
		}
	}
	return nil
}

func commandNames(commands []*command) string {
	var all []string
	for _, c := range commands {
		all = append(all, c.flags.Name)
	}
	return strings.Join(all, ", ")
}

// parse parses args with flaggy. If flaggy would have exited the process, exited is
// true and help is the help that it would have printed.
func parse(parser *flaggy.Parser, args []string) (help flaggy.Help, exited bool, err error) {
	capture := func(h flaggy.Help) string {
		help = h
		return ""
	}
	parser.HelpTemplate, err = template.New("help").Funcs(template.FuncMap{"capture": capture}).Parse("{{capture .}}")
	if err != nil {
		return help, false, err
	}
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		if text, ok := r.(string); !ok || !strings.HasPrefix(text, "Panic instead of exit") {
			panic(r)
		}
		exited = true
	}()
	return help, false, parser.ParseArgs(args)
}
