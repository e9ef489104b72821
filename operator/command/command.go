package command

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"tamarackshunt.dev/fleet/certificate"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/settings"
	"tamarackshunt.dev/operator/client"
)

// Exit codes of the program.
const (
	ExitDone     = 0
	ExitFailure  = 1
	ExitUsage    = 2
	ExitRaced    = 3
	ExitNoLeader = 4
)

const about = `Changes and shows the configuration of a fleet.

Every command but check talks to the control leader, and finds it through the control hosts of the settings file:

  control: [10.0.0.1:7400, 10.0.1.1:7400, 10.0.2.1:7400]
  secret: the operator secret of the fleet
  tls: {authority: FILE, certificate: FILE, key: FILE}

The last line is for hosts with certificates; authority is the fleet's certificate authority, and the operator's own
certificate and key may be left out.

A call whose answer is lost is repeated under the same request id, so that it takes effect once.

Exit codes:
  0  done
  1  failure, such as a mistake in the configuration
  2  wrong usage
  3  another configuration was applied first
  4  no control leader was reached

Sourcing docs/completion.bash in bash completes commands, options and files.`

// options are the global options and the commands of the command line.
type options struct {
	Settings flags.Filename `short:"s" long:"settings" env:"TAMARACK_SETTINGS" value-name:"FILE" description:"YAML settings file"`
	Timeout  time.Duration  `long:"timeout" default:"20s" value-name:"TIME" description:"time to reach the control leader"`

	Check   checkCommand   `command:"check" description:"Check a configuration without applying it"`
	Apply   applyCommand   `command:"apply" description:"Apply a configuration"`
	Key     keyCommand     `command:"key" description:"Give and withdraw keys"`
	Status  statusCommand  `command:"status" description:"Show whether the configuration is met"`
	Explain explainCommand `command:"explain" description:"Show recent events and decisions"`
	Report  reportCommand  `command:"report" description:"Show the service levels"`
}

// Program contains the outputs and the source of random bytes of the commands.
type Program struct {
	Out    io.Writer
	Err    io.Writer
	Random io.Reader
}

// command is implemented by each command of the program.
type command interface {
	run(ctx context.Context, s *session) error
}

// session is one run of a command.
type session struct {
	Program
	options *options
}

// exitError is an error with its own exit code.
type exitError struct {
	code  int
	cause string
}

func (e *exitError) Error() string {
	return e.cause
}

// Run runs the command that the arguments name and returns the exit code.
func Run(ctx context.Context, program Program, arguments []string) int {
	if program.Random == nil {
		program.Random = rand.Reader
	}
	opts := &options{}
	parser := flags.NewNamedParser("tamarack", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", opts); err != nil {
		_, _ = fmt.Fprintln(program.Err, err)
		return ExitFailure
	}
	parser.LongDescription = about
	var selected command
	var extra []string
	parser.CommandHandler = func(c flags.Commander, rest []string) error {
		selected, _ = c.(command)
		extra = rest
		return nil
	}
	completing := false
	parser.CompletionHandler = func(items []flags.Completion) {
		completing = true
		for _, item := range items {
			_, _ = fmt.Fprintln(program.Out, item.Item)
		}
	}
	if _, err := parser.ParseArgs(arguments); err != nil {
		if flags.WroteHelp(err) {
			_, _ = fmt.Fprintln(program.Out, err)
			return ExitDone
		}
		_, _ = fmt.Fprintln(program.Err, err)
		return ExitUsage
	}
	if completing {
		return ExitDone
	}
	if len(extra) > 0 {
		_, _ = fmt.Fprintf(program.Err, "unexpected argument %q, see tamarack --help\n", extra[0])
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, opts.Timeout)
	defer cancel()
	return exitCode(program, selected.run(ctx, &session{Program: program, options: opts}))
}

func exitCode(program Program, err error) int {
	if err == nil {
		return ExitDone
	}
	_, _ = fmt.Fprintln(program.Err, trace.UserMessage(err))
	var exitErr *exitError
	var noLeader *client.NoLeaderError
	switch {
	case errors.As(err, &exitErr):
		return exitErr.code
	case errors.As(err, &noLeader):
		return ExitNoLeader
	default:
		return ExitFailure
	}
}

// client reads the settings and returns a client for the fleet's control hosts.
func (s *session) client() (*client.Client, error) {
	if s.options.Settings == "" {
		return nil, &exitError{ExitUsage, "no settings file, expected --settings FILE or TAMARACK_SETTINGS"}
	}
	var read fleetpb.OperatorSettings
	if err := settings.Read(string(s.options.Settings), &read); err != nil {
		return nil, trace.Wrap(err)
	}
	hosts, err := certificate.NewHosts(read.GetTls())
	if err != nil {
		return nil, trace.Wrap(err, "%s", s.options.Settings)
	}
	return client.New(client.Options{Control: read.GetControl(), Secret: read.GetSecret(), Hosts: hosts})
}

// requestID returns given, or a random id when it is empty.
func (s *session) requestID(given string) (string, error) {
	if given != "" {
		return given, nil
	}
	var raw [12]byte
	if _, err := io.ReadFull(s.Random, raw[:]); err != nil {
		return "", trace.Wrap(err, "reading random bytes for a request id")
	}
	return hex.EncodeToString(raw[:]), nil
}

func (s *session) printLine(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.Out, format+"\n", arguments...)
}

// printNote writes a line that is not part of the result to Err, so that other programs can use the output.
func (s *session) printNote(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.Err, format+"\n", arguments...)
}
