package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/text"
	"tamarackshunt.dev/operator/client"
)

type checkCommand struct {
	Args struct {
		File flags.Filename `positional-arg-name:"FILE" description:"YAML configuration"`
	} `positional-args:"yes" required:"yes"`
}

// Execute is called by go-flags only when no command handler is set.
func (c *checkCommand) Execute([]string) error { return nil }

func (c *checkCommand) run(_ context.Context, s *session) error {
	_, parsed, err := readConfiguration(string(c.Args.File))
	if err != nil {
		return err
	}
	out := 0
	for _, z := range parsed.GetZones() {
		if z.GetOut() {
			out++
		}
	}
	s.printLine("%s is valid: %d zones (%d out of service), %d services, %d teams",
		c.Args.File, len(parsed.GetZones()), out, len(parsed.GetServices()), len(parsed.GetTeams()))
	return nil
}

// readConfiguration returns the source and the parsed text of a configuration file, or an error that lists every mistake.
func readConfiguration(file string) ([]byte, *fleetpb.Text, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, trace.ConvertSystemError(err)
	}
	parsed, err := text.Parse(file, source)
	if err != nil {
		return nil, nil, &exitError{ExitFailure, strings.Join(text.Problems(err), "\n")}
	}
	return source, parsed, nil
}

type applyCommand struct {
	Expect uint64 `long:"expect" value-name:"N" required:"yes" description:"version that is in force now, as status shows it; 0 before the first one"`
	ID     string `long:"id" value-name:"ID" description:"request id, to repeat an earlier apply whose outcome is unknown; random by default"`
	Args   struct {
		File flags.Filename `positional-arg-name:"FILE" description:"YAML configuration"`
	} `positional-args:"yes" required:"yes"`
}

// Execute is called by go-flags only when no command handler is set.
func (c *applyCommand) Execute([]string) error { return nil }

func (c *applyCommand) run(ctx context.Context, s *session) error {
	source, _, err := readConfiguration(string(c.Args.File))
	if err != nil {
		return err
	}
	leader, err := s.client()
	if err != nil {
		return trace.Wrap(err)
	}
	id, err := s.requestID(c.ID)
	if err != nil {
		return trace.Wrap(err)
	}
	answer, err := leader.Apply(ctx, &fleetpb.ApplyRequest{Id: id, Expected: c.Expect, Source: source, File: string(c.Args.File)})
	var noLeader *client.NoLeaderError
	if errors.As(err, &noLeader) {
		return &exitError{ExitNoLeader, fmt.Sprintf(
			"%v\nThe configuration may have been applied. Repeat with --id %s to learn the outcome.", noLeader, id)}
	}
	if err != nil {
		return trace.Wrap(err)
	}
	switch {
	case answer.GetAccepted():
		s.printLine("Version %d is accepted (request %s).", answer.GetVersion(), id)
		return nil
	case answer.GetRaced():
		return &exitError{ExitRaced, fmt.Sprintf("Not applied: expected version %d, but version %d is in force, applied by request %s.\n"+
			"See it with: tamarack status --source", c.Expect, answer.GetVersion(), orNone(answer.GetWinner()))}
	default:
		return &exitError{ExitFailure, "Not applied:\n" + strings.Join(answer.GetProblems(), "\n")}
	}
}

func orNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return text
}
