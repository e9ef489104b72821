package command

import (
	"context"
	"errors"
	"fmt"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/key"
	"tamarackshunt.dev/operator/client"
)

type keyCommand struct {
	Give     giveCommand     `command:"give" description:"Give a team a new key and print it once"`
	Withdraw withdrawCommand `command:"withdraw" description:"Withdraw a key; it stops working within seconds"`
}

type giveCommand struct {
	Args struct {
		Team string `positional-arg-name:"TEAM" description:"team of the configuration"`
	} `positional-args:"yes" required:"yes"`
}

// Execute is called by go-flags only when no command handler is set.
func (c *giveCommand) Execute([]string) error { return nil }

func (c *giveCommand) run(ctx context.Context, s *session) error {
	leader, err := s.client()
	if err != nil {
		return trace.Wrap(err)
	}
	generated, err := key.Generate(s.Random)
	if err != nil {
		return trace.Wrap(err)
	}
	id, err := s.requestID("")
	if err != nil {
		return trace.Wrap(err)
	}
	hash := generated.Hash()
	answer, err := leader.GiveKey(ctx, &fleetpb.GiveKeyRequest{Id: id, Team: c.Args.Team, Key: string(generated.ID), Hash: hash[:]})
	if err := keyError(answer, err, fmt.Sprintf("The key may have been given. Withdraw it with: tamarack key withdraw %s", generated.ID)); err != nil {
		return err
	}
	s.printNote("Key %s of team %s is in force within seconds. It is shown only now:", generated.ID, c.Args.Team)
	s.printLine("%s", generated.Plaintext())
	return nil
}

type withdrawCommand struct {
	Args struct {
		ID string `positional-arg-name:"ID" description:"part of the key before the dot"`
	} `positional-args:"yes" required:"yes"`
}

// Execute is called by go-flags only when no command handler is set.
func (c *withdrawCommand) Execute([]string) error { return nil }

func (c *withdrawCommand) run(ctx context.Context, s *session) error {
	leader, err := s.client()
	if err != nil {
		return trace.Wrap(err)
	}
	id, err := s.requestID("")
	if err != nil {
		return trace.Wrap(err)
	}
	answer, err := leader.WithdrawKey(ctx, &fleetpb.WithdrawKeyRequest{Id: id, Key: c.Args.ID})
	if err := keyError(answer, err, "The key may have been withdrawn. Run the command again."); err != nil {
		return err
	}
	s.printLine("Key %s is withdrawn.", c.Args.ID)
	return nil
}

// keyError returns the error of a call that changes a key, or nil on success. When no leader responded, the change may have
// been made; the error then contains unknown, the advice for this case.
func keyError(answer *fleetpb.KeyResponse, err error, unknown string) error {
	var noLeader *client.NoLeaderError
	switch {
	case errors.As(err, &noLeader):
		return &exitError{ExitNoLeader, noLeader.Error() + "\n" + unknown}
	case err != nil:
		return trace.Wrap(err)
	case !answer.GetDone():
		return &exitError{ExitFailure, "Not done: " + answer.GetProblem()}
	default:
		return nil
	}
}
